"""The adapter: connects the routing logic to a simulator by the simulator's text protocol."""
