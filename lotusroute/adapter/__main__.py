"""Runs the adapter: reads batches of events on standard input and writes a reply to each on standard output.

The exit code is 0 at the end of the input, 1 if the program was interrupted or its output closed, and 2 for
input that does not follow the protocol.
"""

import io
import sys
from typing import cast

from lotusroute.adapter.session import generate_replies
from lotusroute.errors import ProtocolError


def main() -> int:
    """Process standard input to its end; return the exit code."""
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
