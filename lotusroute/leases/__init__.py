"""Leases on fleet-wide tasks by PaxosLease: messages, proposer and acceptor; pure, see docs/leases.md."""
