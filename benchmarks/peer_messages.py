"""Messages between a benchmark and its peer processes.

A process receives its settings as an argument and writes its results as lines of JSON.
"""

import dataclasses
import json
from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True, kw_only=True)
class SlowPeriod:
    """The time in which one server takes ten times as long, in seconds from its start."""

    server: int  # its index
    start_s: float
    end_s: float


@dataclass(frozen=True, slots=True, kw_only=True)
class ServersSettings:
    """Settings of a process of servers."""

    setups_ms: list[float]  # of each server, the median time until its receipt
    spread: str  # of the set-up times: light, heavy or wild
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
    """Settings of a process of clients."""

    port: int
    flows: int
    concurrency: int
    seed: int
    skewed: bool = False  # whether keys follow a Zipf distribution; otherwise each key occurs once
    hold_s: float = 0.0  # for how long flows stay open after all are established; 0: each ends at its receipt
    line_count: int = 0  # lines that one client sends, each after the reply to the previous one

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
    """All flows that stay open are established; sent only with `hold_s`."""

    count: int


@dataclass(frozen=True, slots=True, kw_only=True)
class ClientsResult:
    """All flows have ended."""

    opened: int
    rejected: int
    lost: int
    migrated: int
    seconds: float
    setups_ms: list[float] = field(default_factory=list)  # of established flows
    line_delays_ms: list[float] = field(default_factory=list)


Settings = ServersSettings | EndpointListSettings | ClientsSettings
Message = ServersStarted | EndpointListStarted | FlowsEstablished | ClientsResult


def to_json(message: Settings | Message) -> str:
    """Serialize settings or a message."""
    return json.dumps(dataclasses.asdict(message))
