"""The JSON files that the measuring process exchanges with processes of many members."""

import json
import pathlib
from dataclasses import asdict, dataclass
from typing import Self

from lotusroute.address import Address, parse_address
from lotusroute.process_control.config_files import write_json


@dataclass(frozen=True, slots=True)
class MemberSettings:
    """Settings that all processes of members have."""

    names: list[str]  # names of the members
    discovery: str  # address of discovery as HOST:PORT

    @classmethod
    def read(cls, file: str) -> Self:
        """Read a file that `write` has written."""
        return cls(**json.loads(pathlib.Path(file).read_text(encoding="utf-8")))

    def write(self, file: pathlib.Path) -> str:
        """Write the settings to a file and return its path."""
        return write_json(file, asdict(self))

    def discovery_address(self) -> Address:
        """Return the address of discovery."""
        return parse_address(self.discovery)


@dataclass(frozen=True, slots=True)
class HollowBalancerSettings(MemberSettings):
    """Settings of a process of hollow balancers."""

    fleet: str  # path of the fleet's configuration file


@dataclass(frozen=True, slots=True)
class HollowSubscriberSettings(MemberSettings):
    """Settings of a process of hollow subscribers."""

    zone: str  # zone that all subscribers of the process are in
    relays: dict[str, dict[str, str]]  # addresses of the relays, by zone and name
    report_file: str  # path to which the SubscriberReport is written


@dataclass(frozen=True, slots=True)
class SubscriberReport:
    """What the hollow subscribers of one process have received."""

    # When each subscriber first received each change, in s on the monotonic clock; keyed by the subscriber's
    # name, then by the number of the change.
    received: dict[str, dict[int, float]]
    digests: dict[str, str]  # version and digest of each subscriber's endpoint list, by the subscriber's name
    counters: dict[str, int]  # sums of the counters of all subscribers

    @classmethod
    def read(cls, file: pathlib.Path) -> "SubscriberReport":
        """Read a file that `write` has written."""
        document = json.loads(file.read_text(encoding="utf-8"))
        received = {
            name: {int(change): timestamp for change, timestamp in changes.items()}
            for name, changes in document["received"].items()
        }
        return cls(received, document["digests"], document["counters"])

    def write(self, file: pathlib.Path) -> None:
        """Write the report atomically, so that a reader never sees part of it."""
        partial = file.with_suffix(".part")
        write_json(partial, asdict(self))
        partial.rename(file)
