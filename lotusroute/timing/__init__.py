"""How long to wait: time limits, backoffs and measured times. Nothing here does I/O or reads a clock."""
