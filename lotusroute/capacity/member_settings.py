"""Settings that a measuring process passes, in a JSON file, to a process of many members."""

import json
import pathlib
from dataclasses import asdict, dataclass
from typing import Self

from lotusroute.address import Address
from lotusroute.process_control.config_files import write_json


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings of any process of members."""

    names: list[str]  # of the members
    discovery: str  # host:port

    @classmethod
    def read(cls, file: str) -> Self:
        """Read what `write` wrote."""
        return cls(**json.loads(pathlib.Path(file).read_text(encoding="utf-8")))

    def write(self, file: pathlib.Path) -> str:
        """Write the settings; returns the file's path."""
        return write_json(file, asdict(self))

    def discovery_address(self) -> Address:
        """Return host and port of discovery."""
        host, _, port = self.discovery.rpartition(":")
        return host, int(port)


@dataclass(frozen=True, slots=True)
class HollowBalancerSettings(MemberSettings):
    """Settings of a process of hollow balancers that are members of a fleet."""

    fleet: str  # path of the operator's file on the fleet


@dataclass(frozen=True, slots=True)
class HollowSubscriberSettings(MemberSettings):
    """Settings of a process of hollow subscribers of relays."""

    zone: str  # of all of them
    relays: dict[str, dict[str, str]]  # address by name by zone
    report_file: str  # where the process writes a SubscriberReport


@dataclass(frozen=True, slots=True)
class SubscriberReport:
    """What the hollow subscribers of one process received."""

    received: dict[
        str, dict[int, float]
    ]  # by subscriber: when each change came first, s of the monotonic clock
    digests: dict[str, str]  # by subscriber: version and digest of the endpoint list it holds
    counters: dict[str, int]  # of all of them together

    @classmethod
    def read(cls, file: pathlib.Path) -> "SubscriberReport":
        """Read what `write` wrote."""
        document = json.loads(file.read_text(encoding="utf-8"))
        received = {
            name: {int(change): timestamp for change, timestamp in changes.items()}
            for name, changes in document["received"].items()
        }
        return cls(received, document["digests"], document["counters"])

    def write(self, file: pathlib.Path) -> None:
        """Write the report so that a reader sees either nothing or all of it."""
        partial = file.with_suffix(".part")
        write_json(partial, asdict(self))
        partial.rename(file)
