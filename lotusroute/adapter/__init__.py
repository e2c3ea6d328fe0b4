"""The adapter: plays the decision module on the wire of the users' bench."""
