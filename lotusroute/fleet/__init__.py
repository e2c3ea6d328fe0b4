"""The connections between balancers and the services on them; enabled by the file that LB_FLEET names."""
