"""Records of servers and flows. Each part of a server's record names the one module that writes it.

Times are in milliseconds on the host's clock. An `..._until` time in the past has no effect.
"""

import math
from dataclasses import dataclass, field

from lotusroute.routing.events import EndpointState, FlowRequest, Server
from lotusroute.routing.statistics import DecayingMean


@dataclass(slots=True)
class FailureState:
    """Connection failures of one server; written by `failure_detection.py`."""

    # Failure score between 0 and 1, which rises with each failed connection and falls with each success.
    score: float = 0.0
    ejected_until: float = 0.0


@dataclass(slots=True)
class SetupTimes:
    """Set-up times of one server; written by `overload_detection.py`."""

    mean: DecayingMean
    recent: DecayingMean  # mean of the last few set-up times

    def add(self, now: float, sample: float) -> None:
        """Add a set-up time that was measured at `now`."""
        self.mean.add(now, sample)
        self.recent.add(now, sample)


@dataclass(slots=True)
class OverloadState:
    """Overload of one server by set-up times and latency reports; written by `overload_detection.py`."""

    overloaded_until: float = 0.0  # until this time, the server gets no new flows
    # Until this time, the server gets new flows only if no other server can take them.
    deprioritized_until: float = 0.0
    confirmed_slow_until: float = 0.0  # until this time, connections are migrated away from the server
    setup_times: SetupTimes | None = None  # None before the first set-up
    accumulated_delay: float = 0.0  # sum over consecutive slow set-ups of the excess over the expected time
    slow_samples: int = 0  # slow samples since the server was last neither slow nor deprioritized
    last_slow_attempt_at: float = 0.0  # when the attempt of the last slow sample began


@dataclass(slots=True)
class AdmissionState:
    """Admission limits of one server that warms up or recovers; written by `slow_start.py`."""

    recovering_until: float = 0.0  # until this time, new flows to the server are limited
    timely_setups: int = 0  # timely set-ups since the server last began to recover
    last_slot_at: float = -math.inf  # when an admission slot was last used
    # When this balancer's quota was last used; before its first use, when the quota began.
    last_quota_at: float = 0.0
    quota_flows: int = 0  # flows admitted by this balancer's quota


@dataclass(slots=True, eq=False)
class ServerRecord:
    """A server as this balancer sees it."""

    id: str
    hash: int
    started_at: float
    # When this process first saw the server; set to an earlier time for a server that is not treated as new.
    first_seen_at: float
    zone: str = ""
    cell: int = 0
    # The state in the endpoint list; REMOVED until the server's entry in the list has been read.
    state: EndpointState = EndpointState.REMOVED
    weight: float = 1.0  # weight of the server in hashing, and for its share of the load
    # This balancer's connections to the server, by flow id.
    connections: dict[int, "FlowRecord"] = field(default_factory=dict)

    # The next two fields are kept when the server restarts.
    reported_latency: float = 0.0  # latency in the last report; written by overload_detection.py
    migrated_at: float = 0.0  # when clients were last migrated away; written by migration.py

    failures: FailureState = field(default_factory=FailureState)
    overload: OverloadState = field(default_factory=OverloadState)
    admission: AdmissionState = field(default_factory=AdmissionState)

    def __post_init__(self) -> None:
        """Start this balancer's quota when the server is first seen."""
        self.admission.last_quota_at = self.first_seen_at

    @property
    def usage(self) -> float:
        """The number of connections from this balancer, relative to the server's weight."""
        return len(self.connections) / self.weight

    @property
    def restricted_until(self) -> float:
        """The time at which the last restriction on new flows ends."""
        return max(
            self.failures.ejected_until,
            self.overload.overloaded_until,
            self.admission.recovering_until,
            self.overload.deprioritized_until,
        )

    def update(self, endpoint: Server) -> None:
        """Copy location and state from the server's entry in an endpoint list."""
        self.zone = endpoint.zone
        self.cell = endpoint.cell
        self.state = endpoint.state

    def restart(self, started_at: float, now: float) -> None:
        """Record that the server is a new process, and discard what was learned about the old one."""
        self.started_at = started_at
        self.first_seen_at = now
        self.failures = FailureState()
        self.overload = OverloadState()
        self.admission = AdmissionState(last_quota_at=now)


@dataclass(slots=True, eq=False)
class FlowRecord:
    """A flow that has not ended."""

    request: FlowRequest
    segment: int
    replica: int = 0  # index of the flow's default server in the preference order of its segment
    attempted: list[str] = field(default_factory=list)  # ids of the attempted servers, in order
    possibly_ran_on: ServerRecord | None = None  # the first server on which the flow may have run
    possibly_ran_at: float = 0.0  # when the attempt on `possibly_ran_on` began
    server: ServerRecord | None = None  # the server of the last attempt or of the open connection
    attempted_at: float = 0.0  # when the last attempt began
    # Whether the connection is established; False again when the client has been asked to migrate.
    established: bool = False
    load: float = 0.0  # work per second that the flow causes, from the last load report

    def begin_attempt(self, server: ServerRecord, now: float) -> None:
        """Record that an attempt to connect to `server` begins."""
        self.attempted.append(server.id)
        self.attempted_at = now
        self.server = server
        server.connections[self.request.id] = self

    def restore_connection(self, server: ServerRecord | None) -> None:
        """Record a connection that was open before this balancer started; the server is None if unknown."""
        self.established = True
        self.server = server
        if server is not None:
            server.connections[self.request.id] = self

    def record_possible_run(self) -> None:
        """Record that the flow may have run in the last attempt; keeps the first attempt recorded."""
        if self.possibly_ran_on is None:
            self.possibly_ran_on = self.server
            self.possibly_ran_at = self.attempted_at
