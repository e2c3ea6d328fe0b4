"""A balancer for long-lived connections that assigns flows to servers by hash segment."""
