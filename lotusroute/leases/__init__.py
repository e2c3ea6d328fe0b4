"""Leases on fleet-wide tasks by PaxosLease: messages, proposer and acceptor, all without I/O.

See docs/leases.md.
"""
