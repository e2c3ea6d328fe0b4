"""A balancer for long-lived connections that assigns hash segments of flows to servers and reassigns them."""
