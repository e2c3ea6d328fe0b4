"""Routing decisions: which server a flow goes to, and the events and commands they exchange with a host."""
