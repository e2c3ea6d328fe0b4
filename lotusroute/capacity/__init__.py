"""Measures how resource usage grows with size, and states the capacity target. Balancers do not import it."""
