"""What operators and back ends publish, as each process holds it."""
