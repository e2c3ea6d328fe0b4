"""The balancer on sockets: clients before it, servers behind it, discovery beside it."""
