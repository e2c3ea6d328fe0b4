"""Starts processes of the program on loopback for fault injection, capacity runs, benchmarks and tests.

The balancer itself never imports this package. Times are in seconds unless a name has another unit.
"""
