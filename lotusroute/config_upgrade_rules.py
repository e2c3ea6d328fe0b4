"""The rules by which an older configuration document is upgraded, and the report on its keys.

The new kind of deployment has a single location, and neither health checks nor messages between balancers.
Every key is carried over, replaced or removed. Unknown keys are carried over; the report lists their names
without the values, which may be secrets.
"""

import copy
import json
import re
from collections.abc import Container, Iterator, Mapping
from typing import NamedTuple

from lotusroute.errors import ConfigError
from lotusroute.json_paths import JsonObject, all_paths, delete_path, get_path, set_path

# Settings that have no use in the new deployment, with the values that disable them.
DISABLED_SETTINGS: Mapping[str, object] = {
    "settings.limits.probes": False,
    "settings.limits.peers": False,
    "settings.report.source": "silent",
    "settings.report.names": [],
    "settings.deductions.probe": 0,
    "settings.deductions.peer": 0,
    "settings.deductions.cross_zone": 0,
}
LOAD_REPORT_PATHS = ("settings.family_info.report_x0", "settings.family_info.report_x1")
CACHED_LIST_PATH = "known"  # upgraded as a single value, whatever keys it contains
# Settings that describe the old servers, clients or balancers. They are carried over, since a balancer
# without them would not follow the deployment's rules, but the operator should set them again.
REENTERED_PATHS = (
    "settings.me",
    "settings.siblings",
    "settings.weights",
    "settings.flavors",
    "settings.rules.cold_from",
    "settings.rules.warm_after",
    "settings.rules.tip_multiple",
    "settings.rules.overload_for",
    "settings.rules.stop_sending_within",
    "settings.limits.connect_timeout",
    "settings.limits.max_connects",
    "settings.limits.max_retry_after",
    "settings.family_info.message_aim",
    "settings.service_types",
    "settings.tenants",
    "listen",
    "discovery",
)
KNOWN_PATHS = re.compile(
    "|".join(
        (
            r"name|listen|discovery|seed|known|limits\.(cores|memory_mb|sockets)",
            r"settings\.(me|siblings|weights|flavors|zones|my_zone|discovery|layers|tier|tick|service_type)",
            r"settings\.(earnings_per|overage_earnings|client_habits\.\w+|goal\.\w+|report\.(names|source))",
            r"settings\.service_types\.\d+\.(setup_target|deadline|effect|group|window|name|stream|aim_stretch)",
            r"settings\.service_types\.\d+\.(earnings|late_earnings)",
            r"settings\.tenants\.\d+\.(name|quota_per_s|share)",
            r"settings\.deductions\.(connection|cross_zone|discovery|fleet|handshake|late_fail|moves|origin|waste)",
            r"settings\.deductions\.(peer|probe)|settings\.limits\.(cancel|keepalive|connect_timeout|max_connects)",
            r"settings\.limits\.(cpu_us_per_request|cpu_us_per_s|max_open|max_retry_after|multiplex|peers|probes)",
            r"settings\.limits\.(retry_after|second_copies)|settings\.rules\.(grace_to_answer|ask_every|cold_from)",
            r"settings\.rules\.(stop_sending_within|warm_after|tip_multiple|overload_for)",
            r"settings\.family_info\.(groups|hint|message_aim|mode|notes|park|report_x[01]|tells_delay|tells_load)",
            r"settings\.family_info\.tenant_quota_connections",
        )
    )
)


class UpgradeReport(NamedTuple):
    """What the upgrade did with the keys of the old document."""

    not_carried: list[str]  # replaced or removed paths, each with its old value or a reason
    to_reenter: list[str]  # paths that were carried over and should be set again
    unknown: list[str]  # paths that are not in KNOWN_PATHS; they were carried over unchanged

    def lines(self) -> Iterator[str]:
        """Yield the report as lines for the operator, without empty sections."""
        yield from _section("not carried over", self.not_carried)
        yield from _section("set again for the new deployment", self.to_reenter)
        yield from _section("unknown keys, carried over unchanged", self.unknown)


class UpgradedConfig(NamedTuple):
    """An upgraded document, and the report on its keys."""

    document: JsonObject
    report: UpgradeReport


def upgrade(
    old: JsonObject, location: str, overrides: Mapping[str, object], keep_cached_list: bool
) -> UpgradedConfig:
    """Upgrade a document to a deployment in one location; `overrides` has values by dotted path."""
    steps = _UpgradeSteps(old, location)
    steps.disable_settings()
    steps.remove_load_reports()
    steps.use_one_location()
    steps.upgrade_cached_list(keep_cached_list)
    to_reenter = steps.paths_to_reenter(overrides)
    for path, value in overrides.items():
        set_path(steps.new, path, value)
    unknown = [path for path in all_paths(steps.new, {CACHED_LIST_PATH}) if not KNOWN_PATHS.fullmatch(path)]
    return UpgradedConfig(steps.new, UpgradeReport(steps.not_carried, to_reenter, unknown))


class _UpgradeSteps:
    """The steps of one upgrade; each records what it replaces or removes in `not_carried`."""

    def __init__(self, old: JsonObject, location: str) -> None:
        self.old = old
        self.new = copy.deepcopy(old)
        self.location = location
        self.not_carried: list[str] = []

    def disable_settings(self) -> None:
        """Disable what the new deployment does not have."""
        for path, disabled in DISABLED_SETTINGS.items():
            if get_path(self.old, path) not in (None, disabled, 0, ""):
                self._replace(path, disabled)

    def remove_load_reports(self) -> None:
        """Remove the settings that interpret load reports, which the new deployment's servers do not send."""
        for path in LOAD_REPORT_PATHS:
            if self._is_old_deployment and get_path(self.old, path):
                self.not_carried.append(f"{path} (servers send no load reports)")
                delete_path(self.new, path)

    def use_one_location(self) -> None:
        """Replace all locations by the new one."""
        if get_path(self.old, "settings.zones") not in (None, [self.location], self.location):
            self._replace("settings.zones", [self.location], self._one_location_reason())
        if get_path(self.old, "settings.my_zone") not in (None, self.location):
            self._replace("settings.my_zone", self.location)

    def upgrade_cached_list(self, keep: bool) -> None:
        """Move the servers of the cached endpoint list to the new location, or empty the list."""
        hosts = self._cached_hosts()
        locations = sorted({str(host["site"]) for host in hosts if "site" in host})
        has_other_locations = locations not in ([], [self.location])
        if keep and has_other_locations:
            self.not_carried.append(f"known.hosts: sites {', '.join(locations)}{self._one_location_reason()}")
            set_path(self.new, "known.hosts", [host | {"site": self.location} for host in hosts])
        elif hosts and not keep and (self._is_old_deployment or has_other_locations):
            self.not_carried.append(
                f"known: {len(hosts)} servers (discovery sends those of the new deployment)"
            )
            set_path(self.new, CACHED_LIST_PATH, {"seq": 0, "hosts": []})

    def paths_to_reenter(self, overrides: Container[str]) -> list[str]:
        """Return the paths that describe the old deployment and are not overridden.

        A document of the new deployment has none.
        """
        if not self._is_old_deployment:
            return []
        return [
            path for path in REENTERED_PATHS if get_path(self.old, path) is not None and path not in overrides
        ]

    @property
    def _is_old_deployment(self) -> bool:
        """Whether the document is of an old deployment: whether a step has replaced something so far."""
        return bool(self.not_carried)

    def _replace(self, path: str, value: object, reason: str = "") -> None:
        self.not_carried.append(f"{path} = {json.dumps(get_path(self.old, path))}{reason}")
        set_path(self.new, path, value)

    def _one_location_reason(self) -> str:
        return f" (one location: {self.location})"

    def _cached_hosts(self) -> list[JsonObject]:
        hosts = get_path(self.old, f"{CACHED_LIST_PATH}.hosts") or []
        if not (isinstance(hosts, list) and all(isinstance(host, dict) for host in hosts)):
            raise ConfigError("known.hosts: not a list of JSON objects")
        return hosts


def _section(title: str, entries: list[str]) -> Iterator[str]:
    if entries:
        yield f"{title}:"
        yield from (f"  {entry}" for entry in entries)
