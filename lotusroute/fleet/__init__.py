"""The link between balancers and what stands on it. Off in `run`; the file in LB_FLEET turns it on."""
