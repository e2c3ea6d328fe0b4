"""A balancer for long-lived connections that places flows by movable segments."""
