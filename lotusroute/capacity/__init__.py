"""Measures resource usage by size, to compare it with the capacity target. Balancers do not import it."""
