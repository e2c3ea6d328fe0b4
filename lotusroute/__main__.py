"""Runs one balancer: loads the configuration, opens the sockets, handles signals and shuts down.

SIGTERM and SIGINT shut down gracefully, SIGHUP reloads the configuration, SIGUSR1 logs the counters. The exit
code is 0 after a graceful shutdown and 2 if the start fails. With arguments, the program runs the command of
`lotusroute.cli` that they name.
"""

import signal
import sys

# The default action of these signals ends the process and the connections of all its clients, even for a
# SIGHUP that only announces a changed discovery address. Signals that arrive during the imports are recorded
# and handled once the reactor runs. The configuration is read after the handlers are set, so that no SIGHUP
# for a changed configuration is missed.
EARLY_SIGNALS: list[int] = []


def _defer_signal(number: int, _frame: object) -> None:
    EARLY_SIGNALS.append(number)


signal.signal(signal.SIGHUP, _defer_signal)
signal.signal(signal.SIGTERM, _defer_signal)
signal.signal(signal.SIGINT, _defer_signal)

from lotusroute.net import monotonic_reactor

monotonic_reactor.install()

# The signal handlers and the reactor must be installed before the other modules are imported.
# ruff: noqa: E402
import gc
import logging
import os
from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING, NamedTuple

from twisted.internet import error as twisted_error
from twisted.python.failure import Failure

from lotusroute.address import Address
from lotusroute.errors import ConfigError, InvalidValueError
from lotusroute.net import config, structured_log
from lotusroute.net.balancer import BalancerCore
from lotusroute.net.discovery.session import DiscoverySession, parse_cached_list
from lotusroute.net.downstream.listener import BalancerHooks, DownstreamFactory, Listener
from lotusroute.net.reactor import reactor

if TYPE_CHECKING:
    from lotusroute.fleet.lease_service import LeaseService

# Thresholds of the garbage collector's three generations (see `gc.set_threshold`): the number of objects, and
# of collections of the younger generation, after which one is collected. The youngest is collected once every
# few hundred flows.
GC_THRESHOLDS = (5_000, 20, 20)
LISTEN_BACKLOG = 1024  # room for all clients of a failed peer, which reconnect at the same time
EXIT_START_FAILED = 2


class Balancer(NamedTuple):
    """The components of a running balancer that signal handlers use."""

    session: DiscoverySession
    # Finishes and migrates all flows, then calls its argument.
    shut_down: Callable[[Callable[[], None]], None]


def main() -> int:
    """Run a balancer until its shutdown, or the command that the arguments name; return the exit code."""
    if len(sys.argv) > 1:
        from lotusroute.cli import root_group

        exit_code: int = root_group(prog_name="lotusroute")
        return exit_code
    counters = structured_log.Counters()
    try:
        balancer = build_balancer(counters)
        fleet = start_optional_services(balancer.session, counters)
    except InvalidValueError as error:
        print(f"lotusroute: {error}", file=sys.stderr)
        return EXIT_START_FAILED
    tune_garbage_collection()
    install_signal_handlers(balancer, fleet, counters)
    reactor.run(installSignalHandlers=False)
    counters.print()
    return 0


def build_balancer(counters: structured_log.Counters) -> Balancer:
    """Load the configuration and open the listener; raises InvalidValueError if either fails."""
    balancer_config = config.load_config(os.environ)
    cached_list = parse_cached_list(balancer_config)
    structured_log.configure_logging(balancer_config.log_level)
    core = BalancerCore(balancer_config, counters)
    core.enqueue(cached_list)
    hooks = BalancerHooks(core.enqueue, core.clock, core.ready, core.when_serving, core.loop.input_since)
    downstream = DownstreamFactory(hooks, balancer_config.sockets, counters, core.lingering_upstreams)
    listener = open_listener(balancer_config.listen, downstream)

    def apply_limits(new: config.BalancerConfig) -> None:
        core.apply_limits(new)
        downstream.set_descriptor_limit(new.sockets)

    session = DiscoverySession(balancer_config, core.enqueue, apply_limits, counters)
    core.has_pending_answers = partial(downstream.accept_pending, listener)
    core.has_undelivered_data = downstream.has_undelivered_data
    core.request_complete_list = session.request_complete_list
    reactor.callWhenRunning(session.follow, core.serving_started)
    return Balancer(session, core.stop)


def open_listener(address: Address, downstream: DownstreamFactory) -> Listener:
    """Listen for clients; raises ConfigError if the address cannot be used."""
    listener = Listener(address.port, downstream, LISTEN_BACKLOG, address.host, reactor)
    try:
        listener.startListening()
    except twisted_error.CannotListenError as error:
        raise ConfigError(f"LB_LISTEN: {error}") from None
    return listener


def start_optional_services(
    session: DiscoverySession, counters: structured_log.Counters
) -> "LeaseService | None":
    """Start the fleet or the relay subscription if configured; their modules are imported only then."""
    fleet_path = config.fleet_config_path(os.environ)
    if fleet_path:
        return start_fleet(fleet_path, session, counters)
    relays_path = config.relays_config_path(os.environ)
    if relays_path:
        start_relay_subscription(relays_path, session, counters)
    return None


def start_fleet(path: str, session: DiscoverySession, counters: structured_log.Counters) -> "LeaseService":
    """Join the fleet that the file describes; share discovery's updates if that is one of its tasks."""
    try:
        from lotusroute.fleet import config as fleet_config
        from lotusroute.fleet import lease_service, shared_discovery
    except ImportError as error:
        raise ConfigError(f"LB_FLEET: {error}; install lotusroute[fleet]") from None
    fleet = lease_service.LeaseService(
        reactor, fleet_config.load_fleet_config(path), session.config.name, counters
    )
    if shared_discovery.TASK in fleet.config.tasks:
        session.update_source = shared_discovery.SharedDiscovery(fleet)

    def log_listen_failure(reason: Failure) -> None:
        # A balancer that cannot listen for its peers serves flows like one without a fleet file.
        structured_log.log_event("fleet listen failed", logging.WARNING, reason=str(reason.value))

    def start() -> None:
        fleet.start().addErrback(log_listen_failure)

    reactor.callWhenRunning(start)
    return fleet


def start_relay_subscription(path: str, session: DiscoverySession, counters: structured_log.Counters) -> None:
    """Subscribe to endpoint updates at one of the relays that the file names."""
    try:
        from lotusroute.relay import config as relays_config
        from lotusroute.relay import subscription
    except ImportError as error:
        raise ConfigError(f"LB_RELAYS: {error}; install lotusroute[fleet]") from None
    relays = relays_config.load_relays_config(path)
    relay_subscription = subscription.Subscription(reactor, relays, session.config.name, counters)
    session.update_source = relay_subscription.update_source
    reactor.callWhenRunning(relay_subscription.start)


def tune_garbage_collection() -> None:
    """Run garbage collection, which stalls the process, rarely and without the objects of the start."""
    gc.freeze()
    gc.set_threshold(*GC_THRESHOLDS)


def install_signal_handlers(
    balancer: Balancer, fleet: "LeaseService | None", counters: structured_log.Counters
) -> None:
    """Handle signals in the reactor, starting with those that arrived before it ran."""
    stop = partial(shut_down, balancer, fleet)
    handlers: dict[int, Callable[[], None]] = {
        signal.SIGTERM: stop,
        signal.SIGINT: stop,
        signal.SIGHUP: balancer.session.reload,
        signal.SIGUSR1: counters.print,
    }

    def handle(number: int, _frame: object) -> None:
        reactor.callFromThread(handlers[number])

    for number in handlers:
        signal.signal(number, handle)
    for number in EARLY_SIGNALS:
        reactor.callWhenRunning(handlers[number])


def shut_down(balancer: Balancer, fleet: "LeaseService | None") -> None:
    """Release the fleet's leases, finish and migrate all flows and stop the reactor."""
    if fleet is not None:
        fleet.stop()
    balancer.shut_down(stop_reactor)


def stop_reactor() -> None:
    """Stop the reactor if it still runs."""
    if reactor.running:
        reactor.stop()


if __name__ == "__main__":
    sys.exit(main())
