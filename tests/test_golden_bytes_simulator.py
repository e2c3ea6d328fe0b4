"""Golden lines of the simulator's protocol, written literally.

The simulator and the adapter exchange these lines, which must not change when types or modules are renamed.
The expected lines are therefore not built from names of this project.
"""

import pytest

from lotusroute.adapter import wire
from lotusroute.routing import events


@pytest.mark.parametrize(
    ("action", "line"),
    [
        (events.Connect(7, "s:80", 80.0), "pass_on 7 s:80 80.000"),
        (events.Reject(7, 2.5, events.RejectReason.THROTTLED), "not_now 7 2.500"),
        (events.Abort(7, events.RejectReason.NO_SERVER_AVAILABLE), "abort 7"),
        (events.Migrate(7), "relocate 7"),
        (events.SetTimer(1.5, "m"), "remind 1.500 m"),
        (events.Subscribe(), "listen 1"),
        (events.OutlierEjected("s:80"), "remark set aside s:80"),
    ],
)
def test_an_action_is_formatted_as_its_golden_line(action, line):
    assert wire.format_action(action) == line


OPEN_FLOW = (7, "live", "t", "g", "k", 5.5, False, False)


@pytest.mark.parametrize(
    ("line", "kind", "values"),
    [
        ("ask 7 live t g 0 k 3 1800.5", events.FlowRequest, (7, "live", "t", "g", "k", 1800.5, False, False)),
        ("ask 7 live - - 8 - 3 9", events.FlowRequest, (7, "live", None, None, None, 9.0, True, False)),
        ("ask 7 live - - 2 - 3 9", events.FlowRequest, (7, "live", None, None, None, 9.0, False, True)),
        ("ask 7 live - - 16 - 3 9", events.FlowRequest, (7, "live", None, None, None, 9.0, False, True)),
        ("already_open 7 live t k 5.5 0 g 0 s", events.ExistingConnection, (OPEN_FLOW, "s")),
        ("under_way 7 0 s 1", events.Established, (7, "s")),
        ("withdrawn 7", events.ClientDisconnected, (7,)),
        ("alarm m", events.TimerFired, ("m",)),
        ("notice 7 0 s 1 2.5", events.LoadReport, (7, 2.5)),
        ("notice 7 0 s 2 2.5", events.LatencyReport, ("s", 2.5)),
        ("notice 7 0 s 3 2.5", None, ()),
        ("checked 1 2 3 4", None, ()),
        ("from_peer 1 2", None, ()),
        *(
            (f"resolved 7 1 s 0 0 {code} -", events.ConnectionEnded, (7, "s", True, result))
            for code, result in [
                ("S", events.ConnectionResult.OK),
                ("E", events.ConnectionResult.ERROR),
                ("F", events.ConnectionResult.FULL),
                ("T", events.ConnectionResult.TIMEOUT),
                ("C", events.ConnectionResult.UNREACHABLE),
                ("R", events.ConnectionResult.RESET),
                ("X", events.ConnectionResult.CANCELLED),
                ("N", events.ConnectionResult.UNSENT),
            ]
        ),
    ],
)
def test_a_golden_line_is_parsed_into_its_event(line, kind, values):
    name, *parts = line.split(" ")
    event = wire.parse_event(name, parts)
    assert (event is None) if kind is None else (type(event) is kind and event == values)


def test_rows_scopes_and_message_names_are_unchanged():
    for code, state in (
        ("IN", events.EndpointState.READY),
        ("LAME", events.EndpointState.DRAINING),
        ("OUT", events.EndpointState.REMOVED),
    ):
        assert wire.parse_server(f"s z 0 4 {code} 1.5 -".split(" ")) == ("s", "z", 4, state, 1.5, 0.0)
    scopes = {
        "changes": events.ListScope.CHANGES,
        "all": events.ListScope.COMPLETE,
        "remembered": events.ListScope.CACHED,
        "refused": events.ListScope.REJECTED,
    }
    assert scopes == wire.SCOPES
    names = "ask already_open under_way notice resolved withdrawn alarm checked from_peer"
    assert " ".join(wire.EVENT_FORMATS) == names
