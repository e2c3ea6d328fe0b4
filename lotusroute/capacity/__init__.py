"""What the program costs by size: slopes measured, the target they are held against. Never part of `run`."""
