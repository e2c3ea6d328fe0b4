"""The adapter: replies to batches of events, and errors for malformed lines."""

import pytest

from lotusroute.adapter.session import generate_replies
from lotusroute.errors import ProtocolError

ATTACH = "attach 5 service_types.count=1 service_types.0.name=c service_types.0.setup_target=300 odd.key=1"
START = ["mark 1.0", "at 3", ATTACH, "roster 0 1", "row a:1 z k 0 IN 1 -", "registry 0 1 remembered"]
FLOW = "ask 7 c - - 0 key - 900.0"


def test_a_flow_is_connected_and_a_restart_within_a_batch_discards_it():
    restart = ["mark 2.0", "at 3", "stop", *START[2:], "resolved 7 0 a:1 1.0 0 T -", "your_turn"]
    first, second = generate_replies([*START, FLOW, "your_turn", *restart])
    assert "speaking 3\n" in first and "pass_on 7 a:1 " in first
    assert "remind" in second and "pass_on" not in second and "not_now" not in second


@pytest.mark.parametrize(
    "malformed",
    [
        "asked 7",
        "ask 7 c",
        "ask x c - - 0 key - 900.0",
        "ask 7 d - - 0 key - 900.0",
        "ask 7 c - - 0 key - nan",
        "resolved 7 2 a:1 1.0 0 T -",
        "resolved 7 0 a:1 1.0 0 Q -",
        "at 4\nalarm tick",
        "registry 9 1 all",
        "roster 16 0",
        "roster 1 2\nalarm tick",
        "row a:1 z k 0 IN 1 -",
        "checked a:1 S",
        "mark 3",
        "attach",
        "attach 5 pair",
    ],
)
def test_a_malformed_line_raises_an_error_with_its_number_and_a_reason(malformed):
    lines = [*START, *malformed.split("\n")]
    with pytest.raises(ProtocolError, match=rf"^line {len(lines)}: ."):
        list(generate_replies(lines))
