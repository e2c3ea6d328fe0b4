"""Connections to servers: one attempt each, the connection that it establishes, and its events."""
