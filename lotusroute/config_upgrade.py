"""Migrates an operator's configuration file to a deployment of the new shape.

The new shape has no health checks, no messages between balancers and all servers in one location. The old
file is only read. Each key is carried over, replaced or removed, and whatever is not carried over is
reported. Both files are checked as the balancer does (`net/config.py`). Keys that are unknown here are
carried over and reported by name only, for their values may be secrets.
"""

import argparse
import copy
import json
import os
import re
import shutil
import sys
import tempfile
from collections.abc import Iterator
from typing import NamedTuple

from lotusroute.errors import ConfigError, InvalidValueError
from lotusroute.net import config

EXIT_FAILED = 2
EXAMPLE = """example:
  python -m lotusroute.config_upgrade old.json new.json --location hall-a --dry-run
  python -m lotusroute.config_upgrade old.json new.json --location hall-a --set settings.rules.warm_after=8500"""
# Settings without a place in the new shape, and their values there.
DISABLED_SETTINGS = {
    "settings.limits.probes": False,
    "settings.limits.peers": False,
    "settings.report.source": "silent",
    "settings.report.names": [],
    "settings.deductions.probe": 0,
    "settings.deductions.peer": 0,
    "settings.deductions.cross_zone": 0,
}
LOAD_REPORT_PATHS = ("settings.family_info.report_x0", "settings.family_info.report_x1")
CACHED_LIST = "known"  # migrated as one value, whatever it holds
# Settings that describe the old servers, clients or balancers. They are carried over, since without them
# the balancer would break the deployment's rules, but should be given anew.
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


class MigrationReport(NamedTuple):
    """What became of the keys, as lines for the operator."""

    not_carried: list[str]
    to_reenter: list[str]
    unknown: list[str]

    def lines(self) -> Iterator[str]:
        """Yield the report's lines; sections without keys are left out."""
        yield from _section("not carried over", self.not_carried)
        yield from _section("give anew for the new deployment", self.to_reenter)
        yield from _section("unknown here, carried as they are", self.unknown)


def _section(title: str, keys: list[str]) -> Iterator[str]:
    if keys:
        yield f"{title}:"
        yield from (f"  {key}" for key in keys)


def get_path(document: dict, path: str) -> object:
    """Return the value at a dotted path, None where there is none.

    >>> get_path({"a": {"b": 3}}, "a.b"), get_path({"a": 3}, "a.b")
    (3, None)
    """
    value: object = document
    for key in path.split("."):
        value = value.get(key) if isinstance(value, dict) else None
    return value


def set_path(document: dict, path: str, value: object) -> None:
    """Set the value at a dotted path; raises ConfigError where the path leads through a plain value."""
    *parents, last = path.split(".")
    for key in parents:
        document = document.setdefault(key, {})
        if not isinstance(document, dict):
            raise ConfigError(f"{path}: {key} is not a JSON object")
    document[last] = value


def delete_path(document: dict, path: str) -> None:
    """Delete the value at a dotted path, which must exist."""
    *parents, last = path.split(".")
    for key in parents:
        document = document[key]
    del document[last]


def all_paths(document: dict, prefix: str = "") -> Iterator[str]:
    """Yield the dotted paths of all values; the cached endpoint list counts as one.

    >>> list(all_paths({"a": {"b": 1, "c": [{"d": 2}]}, "known": {"seq": 1}}))
    ['a.b', 'a.c.0.d', 'known']
    """
    for key, value in document.items():
        path = f"{prefix}{key}"
        children = value
        if isinstance(value, list) and value and isinstance(value[0], dict):
            children = {str(index): item for index, item in enumerate(value)}
        if isinstance(children, dict) and children and path != CACHED_LIST:
            yield from all_paths(children, f"{path}.")
        else:
            yield path


class Migration:
    """The migration of one document, step by step; every step adds to `not_carried` what it replaces."""

    def __init__(self, old: dict, location: str) -> None:
        self.old = old
        self.new = copy.deepcopy(old)
        self.location = location
        self.not_carried: list[str] = []

    def disable_settings(self) -> None:
        """Turn off what the new shape does without."""
        for path, disabled in DISABLED_SETTINGS.items():
            if get_path(self.old, path) not in (None, disabled, 0, ""):
                self._replace(path, disabled)

    def remove_load_reports(self) -> None:
        """Remove the meanings of load reports, which the servers of the new shape do not send."""
        for path in LOAD_REPORT_PATHS:
            if self.not_carried and get_path(self.old, path):
                self.not_carried.append(f"{path} (servers report nothing)")
                delete_path(self.new, path)

    def use_one_location(self) -> None:
        """Replace all locations by the new one."""
        if get_path(self.old, "settings.zones") not in (None, [self.location], self.location):
            self._replace("settings.zones", [self.location], self._one_location())
        if get_path(self.old, "settings.my_zone") not in (None, self.location):
            self._replace("settings.my_zone", self.location)

    def migrate_cached_list(self, keep: bool) -> None:
        """Move the servers of the cached list to the new location, or empty the list."""
        hosts = self._cached_hosts()
        locations = sorted({str(host["site"]) for host in hosts if "site" in host})
        elsewhere = locations not in ([], [self.location])
        if keep and elsewhere:
            self.not_carried.append(f"known.hosts: sites {', '.join(locations)}{self._one_location()}")
            set_path(self.new, "known.hosts", [host | {"site": self.location} for host in hosts])
        elif hosts and not keep and (self.not_carried or elsewhere):
            self.not_carried.append(
                f"known: {len(hosts)} servers of the old deployment (discovery names the new ones)"
            )
            set_path(self.new, CACHED_LIST, {"seq": 0, "hosts": []})

    def paths_to_reenter(self, overrides: dict[str, object]) -> list[str]:
        """Return the paths that describe the old deployment, unless overridden; none if nothing changed."""
        if not self.not_carried:
            return []
        return [
            path for path in REENTERED_PATHS if get_path(self.old, path) is not None and path not in overrides
        ]

    def _replace(self, path: str, value: object, reason: str = "") -> None:
        self.not_carried.append(f"{path} = {json.dumps(get_path(self.old, path))}{reason}")
        set_path(self.new, path, value)

    def _one_location(self) -> str:
        return f" (one location: {self.location})"

    def _cached_hosts(self) -> list[dict]:
        hosts = get_path(self.old, "known.hosts") or []
        if not (isinstance(hosts, list) and all(isinstance(host, dict) for host in hosts)):
            raise ConfigError("known.hosts: not a list of JSON objects")
        return hosts


def migrate(
    old: dict, location: str, overrides: dict[str, object], keep_cached_list: bool
) -> tuple[dict, MigrationReport]:
    """Return the new document for an old one, and the report on its keys."""
    migration = Migration(old, location)
    migration.disable_settings()
    migration.remove_load_reports()
    migration.use_one_location()
    migration.migrate_cached_list(keep_cached_list)
    to_reenter = migration.paths_to_reenter(overrides)
    new = migration.new
    for path, value in overrides.items():
        set_path(new, path, value)
    unknown = [path for path in all_paths(new) if not KNOWN_PATHS.fullmatch(path)]
    return new, MigrationReport(migration.not_carried, to_reenter, unknown)


def parse_override(text: str) -> tuple[str, object]:
    """Parse PATH=VALUE; a value that is not JSON is a text.

    >>> parse_override("settings.siblings=40"), parse_override("discovery=10.0.0.9:8500")
    (('settings.siblings', 40), ('discovery', '10.0.0.9:8500'))
    """
    path, equals, value = text.partition("=")
    if not (path and equals):
        raise argparse.ArgumentTypeError(f"'{text}' is not PATH=VALUE")
    try:
        return path, json.loads(value)
    except ValueError:
        return path, value


def write_atomically(target: str, text: str, mode_of: str, replace: bool) -> None:
    """Write a complete file or none, with the permissions of `mode_of`; an existing one only if `replace`."""
    folder = os.path.dirname(target) or "."
    if not os.path.isdir(folder):
        raise ConfigError(f"{target}: there is no folder {folder}; make it first")
    with tempfile.TemporaryDirectory(dir=folder) as temporary_folder:
        temporary = os.path.join(temporary_folder, "complete")
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        shutil.copymode(mode_of, temporary)
        if replace:
            os.replace(temporary, target)
        else:
            # Fails where the target exists, even if it was made just now.
            os.link(temporary, target)


def run(arguments: argparse.Namespace) -> MigrationReport:
    """Migrate as the command line asks for."""
    check_target(arguments)
    try:
        old = config.read_json_object(arguments.old)
        config.parse_config(old, os.environ)
    except InvalidValueError as error:
        raise ConfigError(f"{arguments.old}: {error}") from None
    try:
        new, report = migrate(old, arguments.location, dict(arguments.set), arguments.keep_known)
        config.parse_config(new, os.environ)
    except InvalidValueError as error:
        raise ConfigError(f"{arguments.new}, as it would be: {error}") from None
    if not arguments.dry_run:
        text = read_text(arguments.old) if new == old else format_document(new)
        write_atomically(arguments.new, text, arguments.old, arguments.force)
    return report


def check_target(arguments: argparse.Namespace) -> None:
    """Raise ConfigError if writing the target would touch the old file, or another without --force."""
    if not os.path.exists(arguments.new):
        return
    if os.path.samefile(arguments.old, arguments.new):
        raise ConfigError(f"{arguments.new}: is the old file, which is never touched; name another")
    if not (arguments.force or arguments.dry_run):
        raise ConfigError(f"{arguments.new}: exists; name another, or say --force")


def read_text(path: str) -> str:
    """Return a file's text, which a document that needs no change keeps to the letter."""
    with open(path, encoding="utf-8") as file:
        return file.read()


def format_document(document: dict) -> str:
    """Return a document as the text of a file."""
    return json.dumps(document, indent=1, ensure_ascii=False) + "\n"


def build_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="python -m lotusroute.config_upgrade",
        epilog=EXAMPLE,
        formatter_class=argparse.RawTextHelpFormatter,
        description="Write the counterpart of a configuration file for a deployment without probes,\n"
        "messages between balancers and further locations, and list what could not be carried over.",
    )
    parser.add_argument("old", help="the file of the old shape; it is only read")
    parser.add_argument("new", help="the file to write")
    parser.add_argument("--location", required=True, help="the one location of the new deployment")
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        type=parse_override,
        metavar="PATH=VALUE",
        help="give a figure anew, such as settings.siblings=40",
    )
    parser.add_argument("--keep-known", action="store_true", help="carry the remembered server list as well")
    parser.add_argument("--force", action="store_true", help="overwrite the new file if it exists")
    parser.add_argument("--dry-run", action="store_true", help="only list what would become of the keys")
    return parser


def main(argv: list[str] | None = None) -> int:
    """Run the command; return 0 when done, 2 with one line on standard error when not."""
    arguments = build_parser().parse_args(argv)
    try:
        report = run(arguments)
    except (InvalidValueError, OSError) as error:
        print(f"lotusroute.config_upgrade: {error}", file=sys.stderr)
        return EXIT_FAILED
    for line in report.lines():
        print(line)
    print("nothing written" if arguments.dry_run else f"written: {arguments.new}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
