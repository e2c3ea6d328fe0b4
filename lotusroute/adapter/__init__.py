"""The adapter: runs the routing decisions under the simulator, on its text protocol."""
