"""Fault injection: tests the fleet's parts with faults and checks invariants. `run` imports none of it."""
