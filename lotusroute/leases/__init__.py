"""Leases: who alone may do a fleet-wide task, until when, and with which fence. Pure; see docs/leases.md."""
