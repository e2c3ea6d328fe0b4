"""The connections between the processes of a fleet, and leases and shared discovery on top of them.

It is enabled by the file that LB_FLEET names.
"""
