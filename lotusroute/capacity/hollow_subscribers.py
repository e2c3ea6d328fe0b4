"""A process of many hollow subscribers: balancers that subscribe to relays and handle no flows.

Each consists of the balancer's own `Subscription` and `Discovery`. The process records when each subscriber
received each change. SIGUSR1 writes a SubscriberReport; on SIGUSR2 all subscribers lose their state and
restart at the same time.

    python -m lotusroute.capacity.hollow_subscribers settings.json
"""

import pathlib
import signal
import sys
import time
from typing import NamedTuple

from twisted.internet import defer

from lotusroute.capacity import member_process, stubs
from lotusroute.capacity.deployment import FLEET_NAME
from lotusroute.capacity.member_settings import HollowSubscriberSettings, SubscriberReport
from lotusroute.net import structured_log
from lotusroute.net.discovery.client import Discovery
from lotusroute.net.discovery.endpoint_list import EndpointUpdate
from lotusroute.net.reactor import reactor
from lotusroute.relay.config import parse_relays_config
from lotusroute.relay.subscription import Subscription
from lotusroute.timing.poll_limits import PollLimits

# Time between the starts of two subscribers, long enough for the relays to accept each one. A subscriber that
# is not accepted in time falls back to polling discovery. Thousands that start at once on one machine would
# all fall back, and the discovery process would then take the CPU that the relays need to accept them.
START_INTERVAL_S = 0.15
DRAIN_GRACE_MS = 500.0
RESTART_SEED = 1_000  # seed of the first restarted subscriber; each further one has the next number


class HollowSubscriber(NamedTuple):
    """The components of one hollow subscriber."""

    subscription: Subscription
    discovery: Discovery

    def stop(self) -> None:
        """End the subscription and stop polling discovery."""
        self.subscription.stop()
        self.discovery.close()

    def list_digest(self) -> str:
        """Return version and digest of this subscriber's endpoint list, as one text."""
        store = self.subscription.replica.store
        return f"{store.version} {store.digest}"


class HollowSubscribers:
    """The hollow subscribers of one process."""

    def __init__(self, settings: HollowSubscriberSettings) -> None:
        self.settings = settings
        self.counters = structured_log.Counters()
        self.received: dict[str, dict[int, float]] = {name: {} for name in settings.names}
        self.subscribers: dict[str, HollowSubscriber] = {}

    def start(self, name: str, seed: int) -> None:
        """Start a hollow subscriber; `seed` is the seed of its discovery client."""
        relays = parse_relays_config(
            {"name": FLEET_NAME, "zone": self.settings.zone, "relays": self.settings.relays}
        )
        subscription = Subscription(reactor, relays, name, self.counters)

        def record(update: EndpointUpdate) -> None:
            self._record(name, update)

        address = self.settings.discovery_address()
        limits = PollLimits.for_remote_discovery(DRAIN_GRACE_MS)
        discovery = Discovery(address, 0, seed, record, self.counters, limits)
        discovery.update_source = subscription.update_source
        subscription.update_source.discovery = discovery
        self.subscribers[name] = HollowSubscriber(subscription, discovery)
        subscription.start()
        defer.ensureDeferred(discovery.follow())

    def _record(self, name: str, update: EndpointUpdate) -> None:
        now = time.monotonic()
        for server in update.servers:
            if server.id == stubs.CHANGED_HOST:
                # The discovery stub sends a change's number in the field `block`, which is decoded as `cell`.
                self.received[name].setdefault(server.cell, now)

    def write_report(self) -> None:
        """Write a SubscriberReport: what each subscriber has received, and the digest of its list."""
        digests = {name: subscriber.list_digest() for name, subscriber in self.subscribers.items()}
        report = SubscriberReport(self.received, digests, dict(self.counters))
        report.write(pathlib.Path(self.settings.report_file))

    def restart(self) -> None:
        """Stop all subscribers, then start new ones with the same names without a delay between them."""
        for name, subscriber in self.subscribers.items():
            subscriber.stop()
            self.received[name] = {}
        for index, name in enumerate(list(self.subscribers)):
            self.start(name, RESTART_SEED + index)


def main(file: str) -> None:
    """Run the subscribers named in a settings file until the process is killed."""
    settings = HollowSubscriberSettings.read(file)
    subscribers = HollowSubscribers(settings)
    handlers = {signal.SIGUSR1: subscribers.write_report, signal.SIGUSR2: subscribers.restart}
    member_process.run_members(settings.names, subscribers.start, START_INTERVAL_S, handlers, "WARNING")


if __name__ == "__main__":
    main(sys.argv[1])
