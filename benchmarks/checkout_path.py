"""Adds this checkout to `sys.path`, so that benchmarks import `lotusroute` from it.

Import this module before `lotusroute`.
"""

import pathlib
import sys

CHECKOUT = pathlib.Path(__file__).resolve().parents[1]

if str(CHECKOUT) not in sys.path:
    sys.path.insert(0, str(CHECKOUT))
