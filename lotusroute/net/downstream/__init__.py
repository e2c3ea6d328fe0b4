"""Connections of clients and of the front end: the listener, first lines, and their events."""
