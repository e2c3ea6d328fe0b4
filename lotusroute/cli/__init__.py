"""The command line: `lotusroute GROUP COMMAND`. Without arguments, `lotusroute` runs a balancer instead.

Each group is a separate module, imported when the group is used, because the groups need different optional
dependencies. `lotusroute --help` works without any of them.

All commands exit with the codes of `lotusroute.cli.options.ExitCode`.
"""

import importlib
from typing import NamedTuple, cast

import click


class LazyGroup(click.Group):
    """A command group that imports its commands on first use, from the dictionary `COMMANDS` of a module."""

    def __init__(self, name: str, module: str, help_text: str, hidden: bool = False) -> None:
        super().__init__(name=name, help=help_text, hidden=hidden)
        self.module = module

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands in this group, including hidden ones."""
        return sorted(self._load_commands())

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command of this group by name; None if it does not exist."""
        return self._load_commands().get(cmd_name)

    def _load_commands(self) -> dict[str, click.Command]:
        return cast(dict[str, click.Command], importlib.import_module(self.module).COMMANDS)


class GroupSource(NamedTuple):
    """The module with the commands of a group, and the description of the group in `--help`."""

    module: str
    help_text: str


CAPACITY = GroupSource(
    "lotusroute.cli.capacity",
    "Measure the resource use of each role by size, and compare it with the target.",
)
FAULT_INJECTION = GroupSource(
    "lotusroute.cli.fault_injection", "Test a fleet of processes under injected faults."
)
FLEET = GroupSource("lotusroute.cli.fleet", "Show which peers of the fleet are connected.")
LEASES = GroupSource("lotusroute.cli.leases", "Show which process holds the lease of each fleet-wide task.")
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
# Legacy names of two groups, which operators' scripts still use.
root_group.add_command(LazyGroup("scale", *CAPACITY, hidden=True))
root_group.add_command(LazyGroup("rig", *FAULT_INJECTION, hidden=True))
