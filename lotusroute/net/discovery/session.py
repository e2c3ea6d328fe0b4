"""Runs the discovery client of the current configuration, and applies reloaded configurations.

A session outlives its `Discovery` clients: a reload that names another address replaces the client. A reload
affects neither the flows in progress nor the state of the routing decisions.
"""

import logging
import os
from collections.abc import Callable

from twisted.internet import defer

from lotusroute.errors import ConfigError, InvalidValueError
from lotusroute.net import config
from lotusroute.net.discovery.client import Discovery
from lotusroute.net.discovery.endpoint_list import (
    MALFORMED_LIST_ERRORS,
    EndpointUpdate,
    parse_endpoint_list,
    parse_version,
)
from lotusroute.net.discovery.update_source import UpdateSource
from lotusroute.net.structured_log import Counters, log_event
from lotusroute.routing.events import ListScope
from lotusroute.timing.poll_limits import MAX_UPDATE_DELAY_AFTER_RELOAD_S, MAX_UPDATE_DELAY_S, PollLimits


class DiscoverySession:
    """The running balancer's configuration and its current discovery client."""

    def __init__(
        self,
        balancer_config: config.BalancerConfig,
        enqueue: Callable[[object], None],
        apply_limits: Callable[[config.BalancerConfig], None],
        counters: Counters,
    ) -> None:
        """`enqueue` is called with endpoint updates, `apply_limits` with each reloaded configuration."""
        self.config = balancer_config
        # The source of the updates that balancers share; None if this balancer shares none.
        self.update_source: UpdateSource | None = None
        self._first_config = balancer_config
        self._enqueue = enqueue
        self._apply_limits = apply_limits
        self._counters = counters
        self._discovery: Discovery | None = None

    def follow(self, on_first_response: Callable[[], None] | None = None) -> None:
        """Follow discovery at the configured address.

        `on_first_response` is called once, also after a failure. The first client continues from the cached
        list's version. A later one starts without a version, because another address may number its versions
        differently.
        """
        version = None
        first_update_delay = MAX_UPDATE_DELAY_AFTER_RELOAD_S
        if self._discovery is None:
            version = _cached_version(self.config)
            first_update_delay = MAX_UPDATE_DELAY_S
        else:
            self._discovery.close()
        discovery = Discovery(
            self.config.discovery,
            version,
            self.config.seed,
            self._enqueue,
            self._counters,
            _poll_limits(self.config),
            first_update_delay,
        )
        self._discovery = discovery
        discovery.on_first_response = on_first_response
        if self.update_source is not None:
            discovery.update_source = self.update_source
            self.update_source.discovery = discovery
        defer.ensureDeferred(discovery.follow())

    def request_complete_list(self) -> None:
        """Make the next poll request the complete list, because an update was not applied."""
        if self._discovery is not None:
            self._discovery.request_complete_list()

    def reload(self) -> None:
        """Read the configuration file again and apply what a running balancer can."""
        self._counters["reloads"] += 1
        try:
            new = config.load_config(os.environ, reloading=True)
        except InvalidValueError as error:
            # A malformed file must not stop a running balancer.
            log_event("reload rejected", logging.WARNING, reason=str(error))
            return
        old = self.config
        self.config = new
        self._apply_limits(new)
        if new.discovery != old.discovery:
            self.follow()
        needs_restart = config.settings_needing_restart(self._first_config, new)
        log_event(
            "reloaded",
            discovery=new.discovery.host,
            sockets=new.sockets,
            needs_restart=",".join(needs_restart) or "nothing",
        )


def parse_cached_list(balancer_config: config.BalancerConfig) -> EndpointUpdate:
    """Parse the configuration's cached endpoint list; raises ConfigError."""
    try:
        return parse_endpoint_list(balancer_config.cached_list, ListScope.CACHED)
    except MALFORMED_LIST_ERRORS as error:
        raise ConfigError(f"known: {type(error).__name__}: {error}") from None


def _poll_limits(balancer_config: config.BalancerConfig) -> PollLimits:
    if balancer_config.discovery_is_local_agent:
        return PollLimits.for_local_agent(balancer_config.drain_grace)
    return PollLimits.for_remote_discovery(balancer_config.drain_grace)


def _cached_version(balancer_config: config.BalancerConfig) -> int | None:
    """Return the version of the cached list, or None.

    It is None if the list is empty, or if it has no valid version, which is logged.
    """
    cached_list = balancer_config.cached_list
    if not cached_list["hosts"]:
        return None
    try:
        return parse_version(cached_list.get("seq"))
    except InvalidValueError as error:
        log_event("cached list without version", logging.WARNING, reason=str(error))
        return None
