"""The command line: `lotusroute GROUP COMMAND`. Without arguments, `lotusroute` runs a balancer instead.

Each group lives in a module of its own, which is imported when the group is called: the groups differ in the
optional dependencies that they need, and `lotusroute --help` works without any of them.

Exit codes of all commands are those of `lotusroute.cli.options.ExitCode`.
"""

import importlib

import click


class LazyGroup(click.Group):
    """A command group that imports its commands, the dictionary `COMMANDS` of a module, on first use."""

    def __init__(self, name: str, module: str, help_text: str, hidden: bool = False) -> None:
        super().__init__(name=name, help=help_text, hidden=hidden)
        self.module = module

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands of this group, hidden ones too."""
        return sorted(self._load_commands())

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return one command of this group; None where there is none of that name."""
        return self._load_commands().get(cmd_name)

    def _load_commands(self) -> dict[str, click.Command]:
        return importlib.import_module(self.module).COMMANDS


CAPACITY = "lotusroute.cli.capacity", "Measure the cost of each role by size, and compare it with the target."
FAULT_INJECTION = "lotusroute.cli.fault_injection", "Test several processes with faults between them."
FLEET = "lotusroute.cli.fleet", "Show which peers of the fleet are connected."
LEASES = "lotusroute.cli.leases", "Show who holds the lease of each fleet-wide task."
RELAY = "lotusroute.cli.relay", "Run a relay, which forwards the endpoint list to subscribers."


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
# Older names of two groups, which operators' scripts use.
root_group.add_command(LazyGroup("scale", *CAPACITY, hidden=True))
root_group.add_command(LazyGroup("rig", *FAULT_INJECTION, hidden=True))
