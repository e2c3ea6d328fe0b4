"""Writes the counterpart of an operator's configuration file for a deployment of the new shape.

The new shape: no probes, no messages between balancers, all servers in one location. Owns what becomes of
each key, and the writing. It must never open a socket, touch the old file, check by rules of its own (those
of `net/config.py` hold), lose a key in silence, or print the value of a key that it does not know.
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

from lotusroute.errors import InvalidValueError
from lotusroute.net import config

EXAMPLE = """example:
  python -m lotusroute.migrate old.json new.json --location hall-a --dry-run
  python -m lotusroute.migrate old.json new.json --location hall-a --set settings.rules.warm_after=8500"""
# What has no place in the new shape, and what stands there instead.
TURNED_OFF = {
    "settings.limits.probes": False,
    "settings.limits.peers": False,
    "settings.report.source": "silent",
    "settings.report.names": [],
    "settings.deductions.probe": 0,
    "settings.deductions.peer": 0,
    "settings.deductions.cross_zone": 0,
}
# What says how the old servers, clients or balancers were: carried, for without it rules would not be kept.
OF_THE_OLD = (
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
KNOWN = re.compile(
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


class Report(NamedTuple):
    """What became of the keys."""

    dropped: list[str]
    again: list[str]  # to be given anew
    unknown: list[str]

    def lines(self) -> Iterator[str]:
        """Write it for the operator."""
        titles = "not carried over", "give anew for the new deployment", "unknown here, carried as they are"
        for title, keys in zip(titles, self, strict=True):
            if keys:
                yield f"{title}:"
                yield from (f"  {key}" for key in keys)


def get(told: dict, path: str) -> object:
    """Find the value of a path, None where there is none.

    >>> get({"a": {"b": 3}}, "a.b"), get({"a": 3}, "a.b")
    (3, None)
    """
    for part in path.split("."):
        told = told.get(part) if isinstance(told, dict) else None
    return told


def put(told: dict, path: str, value: object) -> None:
    """Set the value of a path."""
    *outer, last = path.split(".")
    for part in outer:
        told = told.setdefault(part, {})
        if not isinstance(told, dict):
            raise InvalidValueError(f"{path}: {part} is not a JSON object")
    told[last] = value


def paths(told: dict, path: str = "") -> Iterator[str]:
    """Name all that a file tells; the server list counts as one.

    >>> list(paths({"a": {"b": 1, "c": [{"d": 2}]}, "known": {"seq": 1}}))
    ['a.b', 'a.c.0.d', 'known']
    """
    for key, value in told.items():
        if isinstance(value, list) and value and isinstance(value[0], dict):
            value = {str(at): item for at, item in enumerate(value)}
        if isinstance(value, dict) and value and path + key != "known":
            yield from paths(value, f"{path}{key}.")
        else:
            yield path + key


def migrate(old: dict, location: str, given: dict[str, object], keep_known: bool) -> tuple[dict, Report]:
    """Turn what an old file tells into what the new one is to tell."""
    new, dropped, again = copy.deepcopy(old), [], []

    def instead(path: str, value: object, why: str = "") -> None:
        dropped.append(f"{path} = {json.dumps(get(old, path))}{why}")
        put(new, path, value)

    one = f" (one location: {location})"
    for path, value in TURNED_OFF.items():
        if get(old, path) not in (None, value, 0, ""):
            instead(path, value)
    for path in ("settings.family_info.report_x0", "settings.family_info.report_x1"):
        if dropped and get(old, path):
            dropped.append(f"{path} (servers report nothing)")
            del new["settings"]["family_info"][path.rpartition(".")[2]]
    if get(old, "settings.zones") not in (None, [location], location):
        instead("settings.zones", [location], one)
    if get(old, "settings.my_zone") not in (None, location):
        instead("settings.my_zone", location)
    hosts = get(old, "known.hosts") or []
    if not all(isinstance(host, dict) for host in hosts):
        raise InvalidValueError("known.hosts: not a list of JSON objects")
    sites = sorted({str(host["site"]) for host in hosts if "site" in host})
    elsewhere = sites not in ([], [location])
    if keep_known and elsewhere:
        dropped.append(f"known.hosts: sites {', '.join(sites)}{one}")
        put(new, "known.hosts", [host | {"site": location} for host in hosts])
    elif hosts and not keep_known and (dropped or elsewhere):
        dropped.append(f"known: {len(hosts)} servers of the old deployment (discovery names the new ones)")
        put(new, "known", {"seq": 0, "hosts": []})
    if dropped:
        again = [path for path in OF_THE_OLD if get(old, path) is not None and path not in given]
    for path, value in given.items():
        put(new, path, value)
    return new, Report(dropped, again, [path for path in paths(new) if not KNOWN.fullmatch(path)])


def setting(text: str) -> tuple[str, object]:
    """Read PATH=VALUE; a value that is not JSON is a text.

    >>> setting("settings.siblings=40"), setting("discovery=10.0.0.9:8500")
    (('settings.siblings', 40), ('discovery', '10.0.0.9:8500'))
    """
    path, equals, value = text.partition("=")
    if not (path and equals):
        raise argparse.ArgumentTypeError(f"'{text}' is not PATH=VALUE")
    try:
        return path, json.loads(value)
    except ValueError:
        return path, value


def write(target: str, text: str, model: str, replace: bool) -> None:
    """Write a file whole or not at all, as readable as its model; one that exists only where asked."""
    folder = os.path.dirname(target) or "."
    if not os.path.isdir(folder):
        raise InvalidValueError(f"{target}: there is no folder {folder}; make it first")
    with tempfile.TemporaryDirectory(dir=folder) as own:
        spare = os.path.join(own, "whole")
        with open(spare, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        shutil.copymode(model, spare)
        if replace:
            os.replace(spare, target)
        else:
            os.link(spare, target)  # fails where the target exists, also one made just now


def run(asked: argparse.Namespace) -> Report:
    """Do what the command line asks for."""
    if os.path.exists(asked.new):
        if os.path.samefile(asked.old, asked.new):
            raise InvalidValueError(f"{asked.new}: is the old file, which is never touched; name another")
        if not (asked.force or asked.dry_run):
            raise InvalidValueError(f"{asked.new}: exists; name another, or say --force")
    try:
        old = config.read_json_object(asked.old)
        config.parse_config(old, os.environ)
    except InvalidValueError as fault:
        raise InvalidValueError(f"{asked.old}: {fault}") from None
    try:
        new, report = migrate(old, asked.location, dict(asked.set), asked.keep_known)
        config.parse_config(new, os.environ)
    except InvalidValueError as fault:
        raise InvalidValueError(f"{asked.new}, as it would be: {fault}") from None
    if not asked.dry_run:
        if new == old:
            with open(asked.old, encoding="utf-8") as file:
                text = file.read()
        else:
            text = json.dumps(new, indent=1, ensure_ascii=False) + "\n"
        write(asked.new, text, asked.old, asked.force)
    return report


def main(argv: list[str] | None = None) -> int:
    """Run the command; 0 when done, 2 with one line on standard error when not."""
    parser = argparse.ArgumentParser(
        prog="python -m lotusroute.migrate",
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
        type=setting,
        metavar="PATH=VALUE",
        help="give a figure anew, such as settings.siblings=40",
    )
    parser.add_argument("--keep-known", action="store_true", help="carry the remembered server list as well")
    parser.add_argument("--force", action="store_true", help="overwrite the new file if it exists")
    parser.add_argument("--dry-run", action="store_true", help="only list what would become of the keys")
    asked = parser.parse_args(argv)
    try:
        report = run(asked)
    except (InvalidValueError, OSError) as fault:
        print(f"lotusroute.migrate: {fault}", file=sys.stderr)
        return 2
    for line in report.lines():
        print(line)
    print("nothing written" if asked.dry_run else f"written: {asked.new}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
