"""The adapter: runs the routing decisions in a simulation, by the simulator's text protocol."""
