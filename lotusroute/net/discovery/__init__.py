"""The client of discovery: polls, responses, the endpoint list, and reloads of its address."""
