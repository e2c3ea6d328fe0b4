"""Routing logic without I/O or a clock: it receives events and returns actions for its host to carry out."""
