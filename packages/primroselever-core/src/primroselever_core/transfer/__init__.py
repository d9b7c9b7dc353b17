"""Transfer: the distribution of a version's weights to every VM of a group."""
