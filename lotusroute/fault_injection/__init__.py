"""Tests of a fleet under faults: fault injection into real processes, and model checkers of protocols.

The balancer itself never imports this package.
"""
