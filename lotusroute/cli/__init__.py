"""The command line: `lotusroute GROUP COMMAND`. Without arguments, `lotusroute` runs a balancer instead.

Each group has a module of its own, which is imported when the group is called, because the groups need
different optional dependencies. `lotusroute --help` works without any of them.

Exit codes of all commands are those of `lotusroute.cli.options.ExitCode`.
"""

import importlib
from typing import NamedTuple, cast

import click


class LazyGroup(click.Group):
    """A command group that imports its commands, the dictionary `COMMANDS` of a module, on first use."""

    def __init__(self, name: str, module: str, help_text: str, hidden: bool = False) -> None:
        super().__init__(name=name, help=help_text, hidden=hidden)
        self.module = module

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands of this group, including hidden ones."""
        return sorted(self._load_commands())

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return one command of this group; None if there is none of that name."""
        return self._load_commands().get(cmd_name)

    def _load_commands(self) -> dict[str, click.Command]:
        return cast(dict[str, click.Command], importlib.import_module(self.module).COMMANDS)


class GroupSource(NamedTuple):
    """Where the commands of a group are, and what `--help` says of the group."""

    module: str
    help_text: str


CAPACITY = GroupSource(
    "lotusroute.cli.capacity", "Measure the cost of each role by size, and compare it with the target."
)
FAULT_INJECTION = GroupSource(
    "lotusroute.cli.fault_injection", "Test several processes with faults between them."
)
FLEET = GroupSource("lotusroute.cli.fleet", "Show which peers of the fleet are connected.")
LEASES = GroupSource("lotusroute.cli.leases", "Show who holds the lease of each fleet-wide task.")
RELAY = GroupSource("lotusroute.cli.relay", "Run a relay, which forwards the endpoint list to subscribers.")


@click.group()
def root_group() -> None:
    """Query a running fleet, run a relay, or measure and test the program.

    Without a command, `lotusroute` runs a balancer with the configuration file that LB_CONFIG names.
    """


root_group.add_command(LazyGroup("capacity", *CAPACITY))
root_group.add_command(LazyGroup("fault-injection", *FAULT_INJECTION))
root_group.add_command(LazyGroup("fleet", *FLEET))
root_group.add_command(LazyGroup("leases", *LEASES))
root_group.add_command(LazyGroup("relay", *RELAY))
# Older names of two groups; operators' scripts still use them.
root_group.add_command(LazyGroup("scale", *CAPACITY, hidden=True))
root_group.add_command(LazyGroup("rig", *FAULT_INJECTION, hidden=True))
