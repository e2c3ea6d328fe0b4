"""The commands of `lotusroute relay`.

Owns how a relay is started from a terminal and how what relays show is printed. Exit 0 where all is well, 1
where a relay did not answer, 2 on wrong use.
"""

import signal
import sys

import click
from twisted.internet import reactor

from lotusroute.cli import FILE, JSON, PEER, _ask, _finish
from lotusroute.errors import InvalidValueError
from lotusroute.fleet import config, lease_service
from lotusroute.net import structured_log
from lotusroute.net.config import parse_address


@click.group()
def relay() -> None:
    """Carry the server list from discovery to balancers that follow."""


@relay.command("run")
@FILE
@click.option("--name", required=True, help="of this relay, as the file has it")
@click.option("--discovery", required=True, help="HOST:PORT, called while this relay is the origin")
def run(file: str, name: str, discovery: str) -> None:
    """Run one relay until it is told to end.

    Example: lotusroute relay run --fleet deploy/relays.toml --name r1 --discovery 10.2.0.1:8500
    """
    from lotusroute.relay.server import RelayServer

    structured_log.configure_logging("WARNING")
    structured_log.LOGGER.setLevel("INFO")
    counters = structured_log.Counters()
    try:
        told, where = config.load_fleet_config(file), parse_address(discovery)
        fleet = lease_service.LeaseService(reactor, told, name, counters)
    except InvalidValueError as fault:
        click.echo(f"lotusroute: {fault}", err=True)
        sys.exit(2)
    carried = RelayServer(fleet, where, counters)

    def stop() -> None:
        fleet.stop()
        reactor.callLater(0.1, reactor.stop)

    for number, call in ((signal.SIGTERM, stop), (signal.SIGINT, stop), (signal.SIGUSR1, counters.print)):
        signal.signal(number, lambda *_, call=call: reactor.callFromThread(call))

    def unheard(reason) -> None:
        click.echo(f"lotusroute: {file}: peers.{name}: {reason.value}", err=True)
        reactor.stop()

    reactor.callWhenRunning(lambda: carried.start().addErrback(unheard))
    reactor.callWhenRunning(structured_log.log_event, "relay ready", name=name)
    reactor.run(installSignalHandlers=False)
    counters.print()


@relay.command("show")
@FILE
@PEER
@JSON
def show(file: str, peers: tuple[str, ...], as_json: bool) -> None:
    """Show which version each relay has, and how many of its subscribers lack it.

    Example: lotusroute relay show --fleet deploy/relays.toml
    """
    shown, missing = _ask(file, peers)
    lines = []
    for name, state in shown.items():
        news = state.get("news")
        if news is None:
            lines.append(f"{name}: no relay")
            continue
        origin = f", origin under {news['origin']}" * bool(news["origin"])
        lines.append(
            f"{name}: version {news['version'][0]}.{news['version'][1]}, {news['age_ms']} ms old, "
            f"{news['items']} items, {news['subscribers']} subscribers, {news['lack']} lack it, "
            f"oldest {news['oldest'][0]}.{news['oldest'][1]}{origin}"
        )
    _finish(shown, missing, as_json, lines)
