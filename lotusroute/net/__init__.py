"""The balancer process: its sockets to clients, servers and discovery, and the lifecycle of each flow."""
