"""The rig: tries the fleet's parts out, with faults, and judges what came of it. Never part of `run`."""
