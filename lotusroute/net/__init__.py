"""The balancer process: its sockets to clients, servers and discovery, and the life of each flow."""
