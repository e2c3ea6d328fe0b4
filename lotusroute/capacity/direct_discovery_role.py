"""Measures a discovery stub and its clients, by the number of clients that poll it directly."""

import time

from lotusroute.capacity.deployment import loopback_address, run_discovery, temporary_folder
from lotusroute.capacity.measurement import Measurement, MeasurementOptions
from lotusroute.capacity.member_settings import MemberSettings
from lotusroute.capacity.processes import MeasuredProcess, check_footprint, usage_between

SETTLE_DELAY_S = 4.0  # time between the start of the last client and the measurement


def measure_direct_discovery(size: int, options: MeasurementOptions) -> list[Measurement]:
    """Measure discovery with `size` clients, which all run in one process."""
    options.report(check_footprint(2, size))
    with temporary_folder() as folder, run_discovery(options.hosts) as discovery:
        names = [f"n{index + 1}" for index in range(size)]
        settings_file = MemberSettings(names, loopback_address(discovery.port)).write(folder / "clients.json")
        with MeasuredProcess("lotusroute.capacity.direct_discovery_clients", [settings_file]) as clients:
            clients.wait_for_line("event=ready")
            time.sleep(SETTLE_DELAY_S)
            return _measure(size, options.seconds, discovery.process, clients)


def _measure(
    size: int, seconds: float, discovery: MeasuredProcess, clients: MeasuredProcess
) -> list[Measurement]:
    discovery_before = discovery.sample()
    started = time.monotonic()
    clients_before = clients.cpu_seconds()
    time.sleep(seconds)
    discovery_after = discovery.sample()
    elapsed = time.monotonic() - started
    clients_percent = 100 * (clients.cpu_seconds() - clients_before) / elapsed
    usage = usage_between(discovery_before, discovery_after, elapsed)
    return [
        Measurement("direct_discovery.polls", "polls a second", size, usage.rate("polls")),
        Measurement("direct_discovery.cpu", "% of a core", size, usage.cpu_percent),
        Measurement("direct_clients.cpu", "% of a core, of all together", size, clients_percent),
    ]
