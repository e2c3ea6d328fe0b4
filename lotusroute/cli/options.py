"""Options, exit codes and usage errors that all commands share. This module depends only on click."""

import copy
import enum
import sys
from typing import NoReturn

import click


class ExitCode(enum.IntEnum):
    """The exit codes of all commands."""

    OK = 0
    FAILED = 1  # a peer did not answer, an invariant was violated, a figure grew or a limit was exceeded
    USAGE_ERROR = 2  # the code of click's usage errors; also for an unusable configuration file


FLEET_FILE_OPTION = click.option(
    "--fleet",
    "file",
    required=True,
    envvar="LB_FLEET",
    type=click.Path(),
    help="path of the fleet's configuration file; default: the value of LB_FLEET",
)
PEER_OPTION = click.option(
    "--peer", "peers", multiple=True, help="name of a peer to query; may be repeated; default: all peers"
)
JSON_OPTION = click.option("--json", "as_json", is_flag=True, help="print JSON")


def hidden_alias(command: click.Command) -> click.Command:
    """Return a copy of a command, to be registered under a legacy name that `--help` does not list."""
    alias = copy.copy(command)
    alias.hidden = True
    return alias


def exit_with_usage_error(message: str) -> NoReturn:
    """Print the reason why the command cannot run as given, and exit with `ExitCode.USAGE_ERROR`."""
    click.echo(f"lotusroute: {message}", err=True)
    sys.exit(ExitCode.USAGE_ERROR)
