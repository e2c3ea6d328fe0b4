"""A process of hollow subscribers of relays: balancers without flows.

Each is the program's own `Subscription` and `Discovery`. The process records when each of them received which
change. SIGUSR1 writes a SubscriberReport; SIGUSR2 makes all subscribers lose their state and start again at
once.

    python -m lotusroute.capacity.hollow_subscribers settings.json
"""

import pathlib
import signal
import sys
import time

from twisted.internet import defer

from lotusroute.capacity import member_process, stubs
from lotusroute.capacity.deployment import FLEET_NAME
from lotusroute.capacity.member_settings import HollowSubscriberSettings, SubscriberReport
from lotusroute.net import structured_log
from lotusroute.net.discovery import Discovery
from lotusroute.net.endpoint_list import EndpointUpdate
from lotusroute.net.poll_schedule import PollLimits
from lotusroute.relay import config, subscription

# s. Thousands that started at once on one machine's cores all fell back on discovery, and its one process
# then kept the relays from taking them.
START_INTERVAL = 0.15
DRAIN_GRACE = 500.0  # ms
RESTART_SEED = 1_000  # first seed of the subscribers that start again


class HollowSubscribers:
    """The hollow subscribers of one process."""

    def __init__(self, settings: HollowSubscriberSettings) -> None:
        self.settings = settings
        self.counters = structured_log.Counters()
        self.received: dict[str, dict[int, float]] = {name: {} for name in settings.names}
        self.subscriptions: dict[str, subscription.Subscription] = {}

    def start(self, name: str, seed: int) -> None:
        """Start one."""
        relays = config.parse_relays_config(
            {"name": FLEET_NAME, "zone": self.settings.zone, "relays": self.settings.relays}
        )
        subscribed = subscription.Subscription(member_process.reactor, relays, name, self.counters)

        def record(update: EndpointUpdate) -> None:
            self._record(name, update)

        limits = PollLimits.for_remote_discovery(DRAIN_GRACE)
        discovery = Discovery(self.settings.discovery_address(), 0, seed, record, self.counters, limits)
        discovery.watch = subscribed.update_source
        subscribed.update_source.discovery = discovery
        self.subscriptions[name] = subscribed
        subscribed.start()
        defer.ensureDeferred(discovery.follow())

    def _record(self, name: str, update: EndpointUpdate) -> None:
        now = time.monotonic()
        for server in update.servers:
            if server.id == stubs.CHANGED_HOST:
                # A discovery stub writes the number of the change into the field that is read as `cell`.
                self.received[name].setdefault(server.cell, now)

    def write_report(self) -> None:
        """Write what each one received and holds."""
        digests = {
            name: f"{one.replica.store.version} {one.replica.store.digest}"
            for name, one in self.subscriptions.items()
        }
        report = SubscriberReport(self.received, digests, dict(self.counters))
        report.write(pathlib.Path(self.settings.report_file))

    def restart(self) -> None:
        """Drop all subscriptions with their state and start them again at once."""
        for name, subscribed in self.subscriptions.items():
            subscribed.transport.close()
            subscribed.transport.closed = True
            subscribed.update_source.discovery.close()
            # A subscription schedules its own `start` again and again: this one is to stop there.
            subscribed.start = _do_nothing
            self.received[name] = {}
        for index, name in enumerate(list(self.subscriptions)):
            self.start(name, RESTART_SEED + index)


def _do_nothing() -> None:
    pass


def main(file: str) -> None:
    """Run the subscribers that a settings file names until killed."""
    settings = HollowSubscriberSettings.read(file)
    subscribers = HollowSubscribers(settings)
    handlers = {signal.SIGUSR1: subscribers.write_report, signal.SIGUSR2: subscribers.restart}
    member_process.run_members(settings.names, subscribers.start, START_INTERVAL, handlers, "WARNING")


if __name__ == "__main__":
    main(sys.argv[1])
