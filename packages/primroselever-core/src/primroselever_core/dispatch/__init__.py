"""Selection among back ends that are called directly, and early refusal."""
