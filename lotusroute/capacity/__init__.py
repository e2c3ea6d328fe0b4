"""Measures what the program costs by size and compares it with the capacity target. No balancer uses it."""
