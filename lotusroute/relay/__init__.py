"""Replication of the endpoint list from one origin over relays to balancers; off unless configured."""
