"""Messages between a benchmark and its peer processes, which run servers, the endpoint list or clients.

A peer process gets its settings as an argument in JSON and prints its messages as lines of JSON.
"""

import dataclasses
import json
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowPeriod:
    """When one server takes ten times as long to set up flows, in seconds since the start of the server."""

    server: int  # index of the slow server among the servers of its process
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersSettings:
    """Settings of a process that runs servers."""

    setups_ms: list[float]  # for each server, the median time until it sends the receipt of a flow
    spread: str  # distribution of the set-up times: light, heavy or wild
    seed: int
    name: str = "s"  # prefix of the servers' names
    slow: SlowPeriod | None = None

    @classmethod
    def from_json(cls, text: str) -> "ServersSettings":
        """Parse the argument of the process."""
        settings = json.loads(text)
        if settings.get("slow") is not None:
            settings["slow"] = SlowPeriod(**settings["slow"])
        return cls(**settings)


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointListSettings:
    """Settings of a process that serves the endpoint list."""

    hosts: list[dict[str, Any]]  # entries of the endpoint list

    @classmethod
    def from_json(cls, text: str) -> "EndpointListSettings":
        """Parse the argument of the process."""
        return cls(**json.loads(text))


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientsSettings:
    """Settings of a process that runs clients."""

    port: int
    flows: int  # total number of flows to open
    concurrency: int  # number of flows that are opened at a time
    seed: int
    skewed: bool = False  # whether keys follow a Zipf distribution; otherwise each key occurs once
    hold_s: float = 0.0  # how long flows stay open after all have been answered; 0: each ends at its receipt
    line_count: int = 0  # number of lines that one client sends, each after the echo of the previous one

    @classmethod
    def from_json(cls, text: str) -> "ClientsSettings":
        """Parse the argument of the process."""
        return cls(**json.loads(text))


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersStarted:
    """All servers are listening."""

    hosts: list[dict[str, Any]]  # entries of the endpoint list


@dataclass(frozen=True, slots=True, kw_only=True)
class EndpointListStarted:
    """The endpoint list is being served."""

    port: int


@dataclass(frozen=True, slots=True, kw_only=True)
class FlowsEstablished:
    """All flows have been answered, and `count` of them are established; sent only with `hold_s`."""

    count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientsResult:
    """The figures of all flows, sent when they have ended."""

    opened: int
    rejected: int
    lost: int  # flows that ended without any response
    migrated: int
    # Time from the start until all flows had ended, or with `hold_s` until all had been answered.
    seconds: float
    setups_ms: list[float] = field(default_factory=list)  # set-up time of each established flow
    line_delays_ms: list[float] = field(default_factory=list)  # time from sending each line to its echo


Settings = ServersSettings | EndpointListSettings | ClientsSettings
Message = ServersStarted | EndpointListStarted | FlowsEstablished | ClientsResult


def to_json(message: Settings | Message) -> str:
    """Serialize settings or a message."""
    return json.dumps(dataclasses.asdict(message))
