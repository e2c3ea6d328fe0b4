"""The commands of `lotusroute relay`."""

import signal
from collections.abc import Callable

import click
from twisted.python.failure import Failure

from lotusroute.address import parse_address
from lotusroute.cli.options import FLEET_FILE_OPTION, JSON_OPTION, PEER_OPTION, exit_with_wrong_use
from lotusroute.cli.peer_query import print_and_exit, query_peers
from lotusroute.errors import InvalidValueError
from lotusroute.fleet import config, lease_service
from lotusroute.net import structured_log
from lotusroute.net.reactor import reactor

SHUTDOWN_DELAY = 0.1  # s for the release of a lease to be sent


@click.command()
@FLEET_FILE_OPTION
@click.option("--name", required=True, help="this relay's name in the file")
@click.option("--discovery", required=True, help="HOST:PORT, polled while this relay is the origin")
def run(file: str, name: str, discovery: str) -> None:
    """Run one relay until SIGTERM or SIGINT; SIGUSR1 prints its counters.

    Example: lotusroute relay run --fleet deploy/relays.toml --name r1 --discovery 10.2.0.1:8500
    """
    from lotusroute.relay.server import RelayServer

    structured_log.configure_logging("WARNING")
    structured_log.LOGGER.setLevel("INFO")
    counters = structured_log.Counters()
    try:
        fleet_config = config.load_fleet_config(file)
        discovery_address = parse_address(discovery)
        leases = lease_service.LeaseService(reactor, fleet_config, name, counters)
    except InvalidValueError as error:
        exit_with_wrong_use(str(error))
    server = RelayServer(leases, discovery_address, counters)

    def stop() -> None:
        leases.stop()
        reactor.callLater(SHUTDOWN_DELAY, reactor.stop)

    def report_start_failure(reason: Failure) -> None:
        click.echo(f"lotusroute: {file}: peers.{name}: {reason.value}", err=True)
        reactor.stop()

    handlers: dict[int, Callable[[], None]] = {
        signal.SIGTERM: stop,
        signal.SIGINT: stop,
        signal.SIGUSR1: counters.print,
    }
    for number in handlers:
        signal.signal(number, lambda number, _: reactor.callFromThread(handlers[number]))
    reactor.callWhenRunning(lambda: server.start().addErrback(report_start_failure))
    reactor.callWhenRunning(structured_log.log_event, "relay ready", name=name)
    reactor.run(installSignalHandlers=False)
    counters.print()


@click.command()
@FLEET_FILE_OPTION
@PEER_OPTION
@JSON_OPTION
def show(file: str, peers: tuple[str, ...], as_json: bool) -> None:
    """Show which version of the endpoint list each relay has, and how many subscribers lack it.

    Example: lotusroute relay show --fleet deploy/relays.toml
    """
    answers = query_peers(file, peers)
    lines = [_version_line(name, state.get("news")) for name, state in answers.states.items()]
    print_and_exit(answers, as_json, lines)


def _version_line(name: str, versions: dict | None) -> str:
    if versions is None:
        return f"{name}: no relay"
    fence, number = versions["version"]
    oldest_fence, oldest_number = versions["oldest"]
    origin = f", origin under {versions['origin']}" if versions["origin"] else ""
    return (
        f"{name}: version {fence}.{number}, {versions['age_ms']} ms old, {versions['items']} items, "
        f"{versions['subscribers']} subscribers, {versions['lack']} lack it, "
        f"oldest {oldest_fence}.{oldest_number}{origin}"
    )


COMMANDS = {"run": run, "show": show}
