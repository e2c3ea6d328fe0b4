"""Runs the command `python -m lotusroute.config_upgrade` under its older name."""

import sys

from lotusroute.config_upgrade import main

if __name__ == "__main__":
    sys.exit(main())
