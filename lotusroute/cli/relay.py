"""The commands of `lotusroute relay`."""

import signal
from collections.abc import Callable

import click
from twisted.python.failure import Failure

from lotusroute.address import parse_address
from lotusroute.cli.options import FLEET_FILE_OPTION, JSON_OPTION, PEER_OPTION, exit_with_usage_error
from lotusroute.cli.peer_query import print_and_exit, query_peers
from lotusroute.errors import InvalidValueError
from lotusroute.fleet.config import load_fleet_config
from lotusroute.fleet.lease_service import LeaseService
from lotusroute.net import structured_log
from lotusroute.net.reactor import reactor
from lotusroute.relay.status import RelayStatus
from lotusroute.relay.versioned_store import Version

SHUTDOWN_DELAY_S = 0.1  # time between the release of the lease and the exit, so that the release is sent


@click.command()
@FLEET_FILE_OPTION
@click.option("--name", required=True, help="this relay's name in the file")
@click.option(
    "--discovery", required=True, help="HOST:PORT of discovery, polled while this relay is the origin"
)
def run(file: str, name: str, discovery: str) -> None:
    """Run one relay until SIGTERM or SIGINT; SIGUSR1 prints its counters.

    Example: lotusroute relay run --fleet deploy/relays.toml --name r1 --discovery 10.2.0.1:8500
    """
    from lotusroute.relay.server import RelayServer

    structured_log.configure_logging("INFO")
    counters = structured_log.Counters()
    try:
        fleet_config = load_fleet_config(file)
        discovery_address = parse_address(discovery)
        lease_service = LeaseService(reactor, fleet_config, name, counters)
    except InvalidValueError as error:
        exit_with_usage_error(str(error))
    server = RelayServer(lease_service, discovery_address, counters)

    def report_start_failure(failure: Failure) -> None:
        click.echo(f"lotusroute: {file}: peers.{name}: {failure.value}", err=True)
        reactor.stop()

    _install_signal_handlers(lease_service, counters)
    reactor.callWhenRunning(lambda: server.start().addErrback(report_start_failure))
    reactor.callWhenRunning(structured_log.log_event, "relay ready", name=name)
    reactor.run(installSignalHandlers=False)
    counters.print()


def _install_signal_handlers(lease_service: LeaseService, counters: structured_log.Counters) -> None:
    def stop() -> None:
        lease_service.stop()
        reactor.callLater(SHUTDOWN_DELAY_S, reactor.stop)

    handlers: dict[int, Callable[[], None]] = {
        signal.SIGTERM: stop,
        signal.SIGINT: stop,
        signal.SIGUSR1: counters.print,
    }

    def handle(number: int, _frame: object) -> None:
        reactor.callFromThread(handlers[number])

    for number in handlers:
        signal.signal(number, handle)


@click.command()
@FLEET_FILE_OPTION
@PEER_OPTION
@JSON_OPTION
def show(file: str, peers: tuple[str, ...], as_json: bool) -> None:
    """Show which version of the endpoint list each relay has, and how many subscribers lag behind it.

    Example: lotusroute relay show --fleet deploy/relays.toml
    """
    answers = query_peers(file, peers)
    lines = [_status_line(name, status) for name, status in answers.relay_statuses.items()]
    print_and_exit(answers, as_json, lines)


def _status_line(name: str, status: RelayStatus | None) -> str:
    if status is None:
        return f"{name}: not a relay"
    version = Version(*status.version)
    oldest_version = Version(*status.oldest_version)
    origin = ""
    if status.origin_fencing_token:
        origin = f", origin under fencing token {status.origin_fencing_token}"
    return (
        f"{name}: version {version}, {status.age_ms} ms old, {status.items} items, "
        f"{status.subscribers} subscribers, {status.lagging} lagging, "
        f"{status.snapshot_queue} waiting for a snapshot, oldest version {oldest_version}{origin}"
    )


COMMANDS = {"run": run, "show": show}
