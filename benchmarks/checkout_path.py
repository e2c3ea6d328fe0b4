"""Makes the package of this checkout importable for benchmarks; import it before `lotusroute`."""

import pathlib
import sys

CHECKOUT = pathlib.Path(__file__).resolve().parents[1]

if str(CHECKOUT) not in sys.path:
    sys.path.insert(0, str(CHECKOUT))
