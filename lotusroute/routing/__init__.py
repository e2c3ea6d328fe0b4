"""Routing decisions: events go in, actions for a host come out; no I/O and no clock of its own."""
