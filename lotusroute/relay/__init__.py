"""Replication of the endpoint list from one origin through relays to balancers; disabled by default."""
