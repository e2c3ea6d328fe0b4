"""Starts one balancer: reads what it is told, opens its sockets, reads anew, ends in order.

Owns the order of the start and of the end, and the signals. It must never hold state of a flow.
"""

import gc
import logging
import os
import signal
import sys

# A reload or a stop that came while the rest was still imported ended the program by the default, a crash. It
# is kept until there is somebody to do it; the file is read after this stands, so no change of it is missed.
EARLY: list[int] = []
for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda number, _: EARLY.append(number))

from lotusroute.net import epoll_reactor

epoll_reactor.install()

# Nothing may import Twisted's reactor before ours is installed, and the signals come first.
# ruff: noqa: E402, I001
from twisted.internet import defer, error, reactor

from lotusroute.routing import events
from lotusroute.net import config, structured_log
from lotusroute.net.discovery import Discovery
from lotusroute.net.endpoint_list import parse_endpoint_list, parse_version
from lotusroute.net.listener import DownstreamFactory, Listener
from lotusroute.net.owner import Owner
from lotusroute.errors import InvalidValueError

COLLECT = 5_000, 20, 20  # objects, and younger looks, between looks for garbage: every few hundred flows
OPENING = 1.0  # s that the listener waits at most for the first word of discovery
BACKLOG = 1024  # connections that may wait to be accepted when all clients of a peer come at once


def main() -> int:
    """Run until told to stop; 0 after an orderly end, 2 where the start is faulty. Words are a command."""
    if len(sys.argv) > 1:
        from lotusroute.cli import command

        return command(prog_name="lotusroute")
    try:
        posting = config.load_config(os.environ)
        remembered = _remembered(posting)
    except InvalidValueError as fault:
        print(f"lotusroute: {fault}", file=sys.stderr)
        return 2
    structured_log.configure_logging(posting.log_level)
    counters = structured_log.Counters()
    owner = Owner(posting, counters)
    owner.put(remembered)
    clients = DownstreamFactory(owner.put, owner.clock, owner.ready, posting.sockets, counters)
    listener = Listener(posting.listen[1], clients, BACKLOG, posting.listen[0], reactor)
    try:
        listener.startListening()
    except error.CannotListenError as fault:
        print(f"lotusroute: LB_LISTEN: {fault}", file=sys.stderr)
        return 2
    owner.owing = lambda: clients.accept_pending(listener)
    # What discovery has counts as told from our first moment on, and the remembered list may be an old one:
    # first flows went to servers that had drained long ago. They wait for its first word.
    listener.stopReading()
    reactor.callLater(OPENING, listener.startReading)
    standing = Standing(posting, owner, clients, counters)
    reactor.callWhenRunning(standing.follow, listener.startReading)
    try:
        fleet = _fleet(posting, counters, standing)
    except InvalidValueError as fault:
        print(f"lotusroute: {fault}", file=sys.stderr)
        return 2

    def finish() -> None:
        if reactor.running:
            reactor.stop()

    def stop() -> None:
        listener.startReading()
        if fleet is not None:
            fleet.stop()
        owner.stop(finish)

    # What stands at the start is not looked through again; looks at all flows come seldom, for they stall us.
    gc.freeze()
    gc.set_threshold(*COLLECT)
    calls = {
        signal.SIGTERM: stop,
        signal.SIGINT: stop,
        # The default end on SIGHUP cut off every client when only the address of discovery had changed.
        signal.SIGHUP: standing.read_anew,
        signal.SIGUSR1: counters.print,
    }
    for number in calls:
        signal.signal(number, lambda number, _: reactor.callFromThread(calls[number]))
    for number in EARLY:
        reactor.callWhenRunning(calls[number])
    reactor.run(installSignalHandlers=False)
    counters.print()
    return 0


def _fleet(posting: config.BalancerConfig, counters: structured_log.Counters, standing: "Standing"):
    """Start the fleet's parts where the operator's file asks for them; else nothing of them is imported."""
    file = config.fleet_config_path(os.environ)
    if not file:
        return _relays(posting, counters, standing)
    try:
        from lotusroute.fleet import config as fleet_config
        from lotusroute.fleet import lease_service, shared_discovery
    except ImportError as fault:
        raise InvalidValueError(f"LB_FLEET: {fault}; install lotusroute[fleet]") from None
    fleet = lease_service.LeaseService(reactor, fleet_config.load_fleet_config(file), posting.name, counters)
    if shared_discovery.TASK in fleet.plan.tasks:
        standing.watch = shared_discovery.SharedDiscovery(fleet)

    def unheard(reason) -> None:
        # Without its link this balancer is alone, and serves as without the file.
        structured_log.log_event("fleet listen failed", logging.WARNING, why=str(reason.value))

    reactor.callWhenRunning(lambda: fleet.start().addErrback(unheard))
    return fleet


def _relays(posting: config.BalancerConfig, counters: structured_log.Counters, standing: "Standing") -> None:
    """Follow a relay where the operator's file asks for it; else nothing of that is imported."""
    file = config.relays_config_path(os.environ)
    if not file:
        return
    try:
        from lotusroute.relay import subscription
    except ImportError as fault:
        raise InvalidValueError(f"LB_RELAYS: {fault}; install lotusroute[fleet]") from None
    told = subscription.read(file)
    standing.watch = subscription.Subscription(reactor, told, posting.name, counters)
    reactor.callWhenRunning(standing.watch.start)


class Standing:
    """What the running balancer was last told, and the discovery that it follows by it."""

    def __init__(
        self,
        posting: config.BalancerConfig,
        owner: Owner,
        clients: DownstreamFactory,
        counters: structured_log.Counters,
    ) -> None:
        self.first = self.posting = posting
        self.owner, self.clients, self.counters = owner, clients, counters
        self.discovery: Discovery | None = None
        self.watch = None  # where balancers share what discovery tells

    def follow(self, heard=None) -> None:
        """Follow discovery at the address last told: at the start from the list that is remembered, else from
        the beginning, for another address may count its versions in its own way. `heard` is called once,
        after the first call, whatever it brought."""
        seq = None
        if self.discovery is None:
            seq = _remembered_seq(self.posting)
        else:
            self.discovery.close()
        told = self.posting
        self.discovery = Discovery(
            told.discovery, seq, told.seed, self.owner.put, self.counters, told.grace, told.pushed
        )
        self.discovery.on_first_response, self.owner.relist = heard, self.discovery.request_complete_list
        if self.watch is not None:
            self.discovery.watch, self.watch.discovery = self.watch, self.discovery
        defer.ensureDeferred(self.discovery.follow())

    def read_anew(self) -> None:
        """Read the file again; open flows and all that the decisions know stay as they are."""
        self.counters["reloads"] += 1
        try:
            new = config.load_config(os.environ, anew=True)
        except InvalidValueError as fault:
            # A file that was spoilt must not end a balancer that serves.
            structured_log.log_event("reload rejected", logging.WARNING, why=str(fault))
            return
        old, self.posting = self.posting, new
        self.owner.allow(new)
        self.clients.set_descriptor_limit(new.sockets)
        if new.discovery != old.discovery:
            self.follow()
        restart = ",".join(config.settings_needing_restart(self.first, new)) or "nothing"
        structured_log.log_event(
            "reloaded", discovery=new.discovery[0], sockets=new.sockets, needs_restart=restart
        )


def _remembered(posting: config.BalancerConfig):
    try:
        return parse_endpoint_list(posting.known, events.CACHED)
    except (KeyError, TypeError, ValueError, AttributeError, InvalidValueError) as fault:
        raise InvalidValueError(f"known: {type(fault).__name__} {fault}") from None


def _remembered_seq(posting: config.BalancerConfig) -> int | None:
    """Of a list that is remembered whole; anything else is named, and the whole list asked for."""
    try:
        return parse_version(posting.known.get("seq")) if posting.known["hosts"] else None
    except InvalidValueError as fault:
        structured_log.log_event("cached list without version", logging.WARNING, why=str(fault))
        return None


if __name__ == "__main__":
    sys.exit(main())
