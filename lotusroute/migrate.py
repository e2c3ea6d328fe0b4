"""Older name of the command `python -m lotusroute.config_upgrade`."""

import sys

from lotusroute.config_upgrade import main

if __name__ == "__main__":
    sys.exit(main())
