"""Measures three relays at rest, by the number of subscribers per relay."""

from lotusroute.capacity.measurement import Measurement, MeasurementOptions
from lotusroute.capacity.propagation_fleet import FleetSize, PropagationFleet

RELAYS = 3
REAL_SUBSCRIBERS = 2  # balancers that run the real program, in addition to the hollow ones


def measure_relays(size: int, options: MeasurementOptions) -> list[Measurement]:
    """Measure relays with `size` subscribers each."""
    fleet_size = FleetSize(
        relays=RELAYS, real=REAL_SUBSCRIBERS, hollow=RELAYS * size, zones=1, hosts=options.hosts
    )
    with PropagationFleet(fleet_size, options.report) as fleet:
        figures = fleet.measure_at_rest(options.seconds)
    return [
        Measurement("relay.cpu", "% of a core", size, figures.relay_cpu_percent),
        Measurement("relay.bytes", "B a second, both ways", size, figures.relay_bytes_per_s),
        Measurement("relay.memory", "MB", size, figures.relay_resident_mb),
        Measurement("subscriber.cpu", "% of a core", size, figures.balancer_cpu_percent),
        Measurement("subscriber.bytes", "B a second, both ways", size, figures.balancer_bytes_per_s),
        Measurement("subscriber.memory", "MB", size, figures.balancer_resident_mb),
    ]
