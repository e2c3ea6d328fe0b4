"""Runs the adapter: reads batches of events from standard input and writes the replies to standard output.

The exit code is 0 at the end of the input, 1 if the program is interrupted or its output is closed, and 2 if
the input violates the protocol.
"""

import io
import sys
from typing import cast

from lotusroute.adapter.session import generate_replies
from lotusroute.errors import ProtocolError


def main() -> int:
    """Process standard input until it ends; return the exit code."""
    cast(io.TextIOWrapper, sys.stdin).reconfigure(encoding="utf-8", errors="replace", newline="\n")
    try:
        for reply in generate_replies(sys.stdin):
            sys.stdout.write(reply)
            sys.stdout.flush()
    except ProtocolError as error:
        print(f"lotusroute: {error}", file=sys.stderr)
        return 2
    except (BrokenPipeError, KeyboardInterrupt):
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
