"""The command that upgrades a configuration file for the new kind of deployment (docs/migration.md).

The old file is only read. Both configurations are validated in the same way as the balancer does.
"""

import argparse
import json
import os
import shutil
import sys
import tempfile
from dataclasses import dataclass
from typing import NamedTuple

from lotusroute.config_upgrade_rules import UpgradedConfig, UpgradeReport, upgrade
from lotusroute.errors import ConfigError, InvalidValueError
from lotusroute.json_paths import JsonObject
from lotusroute.net import config

EXIT_FAILED = 2
EXAMPLE = """example:
  python -m lotusroute.config_upgrade old.json new.json --location hall-a --dry-run
  python -m lotusroute.config_upgrade old.json new.json --location hall-a --set settings.siblings=40"""


class Override(NamedTuple):
    """A value that the operator sets for the new deployment."""

    path: str
    value: object


@dataclass(frozen=True, slots=True)
class UpgradeCommand:
    """The command line."""

    old_file: str
    new_file: str
    location: str
    overrides: list[Override]
    keep_cached_list: bool
    overwrite: bool
    dry_run: bool


def main(argv: list[str] | None = None) -> int:
    """Run the command and return its exit code. An error is reported as one line on standard error."""
    command = parse_arguments(argv)
    try:
        report = run(command)
    except (InvalidValueError, OSError) as error:
        print(f"lotusroute.config_upgrade: {error}", file=sys.stderr)
        return EXIT_FAILED
    for line in report.lines():
        print(line)
    print("nothing written" if command.dry_run else f"written: {command.new_file}")
    return 0


def parse_arguments(argv: list[str] | None) -> UpgradeCommand:
    """Parse the command line; exits if it is invalid."""
    arguments = _build_parser().parse_args(argv)
    return UpgradeCommand(
        old_file=arguments.old,
        new_file=arguments.new,
        location=arguments.location,
        overrides=arguments.set,
        keep_cached_list=arguments.keep_cached_list,
        overwrite=arguments.force,
        dry_run=arguments.dry_run,
    )


def _build_parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="python -m lotusroute.config_upgrade",
        epilog=EXAMPLE,
        formatter_class=argparse.RawTextHelpFormatter,
        description="Upgrade a configuration file for a deployment with one location, without health checks\n"
        "and messages between balancers, and report the keys that cannot be carried over.",
    )
    parser.add_argument("old", help="the file to upgrade, which is only read")
    parser.add_argument("new", help="the file to write")
    parser.add_argument("--location", required=True, help="the location of the new deployment")
    parser.add_argument(
        "--set",
        action="append",
        default=[],
        type=parse_override,
        metavar="PATH=VALUE",
        help="set a value for the new deployment, such as settings.siblings=40; may be repeated",
    )
    parser.add_argument("--keep-cached-list", action="store_true", help="carry the cached endpoint list over")
    older_name = "--keep-known"
    parser.add_argument(older_name, dest="keep_cached_list", action="store_true", help=argparse.SUPPRESS)
    parser.add_argument("--force", action="store_true", help="overwrite the new file if it exists")
    parser.add_argument("--dry-run", action="store_true", help="print the report and write nothing")
    return parser


def parse_override(text: str) -> Override:
    """Parse PATH=VALUE; a value that is not valid JSON is taken as a string.

    >>> parse_override("settings.siblings=40").value, parse_override("discovery=10.0.0.9:8500").value
    (40, '10.0.0.9:8500')
    """
    path, equals, value = text.partition("=")
    if not (path and equals):
        raise argparse.ArgumentTypeError(f"'{text}' is not PATH=VALUE")
    try:
        return Override(path, json.loads(value))
    except ValueError:
        return Override(path, value)


def run(command: UpgradeCommand) -> UpgradeReport:
    """Upgrade the file as the command line says; return the report."""
    _check_target(command)
    old = _read_config(command.old_file)
    upgraded = _upgrade_checked(command, old)
    if not command.dry_run:
        is_unchanged = upgraded.document == old
        text = _read_text(command.old_file) if is_unchanged else _format_document(upgraded.document)
        write_atomically(command.new_file, text, mode_of=command.old_file, replace=command.overwrite)
    return upgraded.report


def _check_target(command: UpgradeCommand) -> None:
    """Raise `ConfigError` if the new file is the old one, or exists and must not be overwritten."""
    if not os.path.exists(command.new_file):
        return
    if os.path.samefile(command.old_file, command.new_file):
        raise ConfigError(f"{command.new_file}: is the old file, which is never changed; name another file")
    if not (command.overwrite or command.dry_run):
        raise ConfigError(f"{command.new_file}: exists; name another file, or use --force")


def _read_config(path: str) -> JsonObject:
    """Return the document of a valid configuration file."""
    try:
        document = config.read_json_object(path)
        config.parse_config(document, os.environ)
    except InvalidValueError as error:
        raise ConfigError(f"{path}: {error}") from None
    return document


def _upgrade_checked(command: UpgradeCommand, old: JsonObject) -> UpgradedConfig:
    """Upgrade a document; raises `ConfigError` if the result is not a valid configuration."""
    try:
        upgraded = upgrade(old, command.location, dict(command.overrides), command.keep_cached_list)
        config.parse_config(upgraded.document, os.environ)
    except InvalidValueError as error:
        raise ConfigError(f"{command.new_file} would be invalid: {error}") from None
    return upgraded


def _read_text(path: str) -> str:
    """Return the text of a file, from which an unchanged document is copied byte for byte."""
    with open(path, encoding="utf-8") as file:
        return file.read()


def _format_document(document: JsonObject) -> str:
    return json.dumps(document, indent=1, ensure_ascii=False) + "\n"


def write_atomically(target: str, text: str, mode_of: str, replace: bool) -> None:
    """Write a file completely or not at all, with the permissions of the file `mode_of`.

    An existing target is an error unless `replace` is set.
    """
    directory = os.path.dirname(target) or "."
    if not os.path.isdir(directory):
        raise ConfigError(f"{target}: the directory {directory} does not exist; create it first")
    with tempfile.TemporaryDirectory(dir=directory) as temporary_directory:
        temporary = os.path.join(temporary_directory, "complete")
        with open(temporary, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        shutil.copymode(mode_of, temporary)
        if replace:
            os.replace(temporary, target)
        else:
            # Fails if the target exists, even if it was created after the check for it.
            os.link(temporary, target)


if __name__ == "__main__":
    sys.exit(main())
