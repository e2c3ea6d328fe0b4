"""Flows, which join a client and a server: admission, attempts, endings, drains and the shutdown."""
