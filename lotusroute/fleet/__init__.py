"""The connections between the processes of a fleet, and leases and shared discovery on top of them.

The environment variable LB_FLEET names the fleet's configuration file; without it, none of this is used.
"""
