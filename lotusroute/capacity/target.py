"""The operators' capacity target for two years ahead, and the figures that follow from it by division.

Measured figures do not belong here: they come from runs.
"""

from typing import NamedTuple

SECONDS_PER_DAY = 86_400


class Target(NamedTuple):
    """The load that the system has to carry."""

    balancers: int = 6_200
    connections: int = 400_000_000
    shards: int = 1_500_000
    listeners: int = 480_000  # number of listeners of the largest topic
    deliveries: float = 140e6  # number of deliveries per second
    delivery_ms: float = 370.0  # 99th percentile of the time that a delivery takes
    regions: int = 8
    zones: int = 19
    changes: int = 8_000  # number of configuration changes per day
    in_force_s: float = 4.0  # time from a change until it is in force everywhere
    core: float = 0.035  # fraction of a core that the control plane may use per balancer
    memory_mb: float = 64.0  # memory that the control plane may use per balancer
    bytes_s: float = 8_192.0  # bytes per second that the control plane may use per balancer
    machines: int = 44  # number of machines of the control plane
    machines_fail: int = 19  # number of machines that fail per day
    replaced: int = 540  # number of processes that are replaced per day

    def derived_figures(self) -> dict[str, float]:
        """Return the figures that follow from the target by division.

        >>> figures = Target().derived_figures()
        >>> round(figures["connections_a_balancer"]), round(figures["deliveries_a_balancer_s"])
        (64516, 22581)
        >>> round(figures["balancers_a_zone"]), round(figures["balancers_a_machine"])
        (326, 141)
        """
        balancers_a_zone = self.balancers / self.zones
        connections_of_a_zone = self.connections / self.zones
        return {
            "connections_a_balancer": self.connections / self.balancers,
            "descriptors_a_balancer": 2 * self.connections / self.balancers,
            "shards_a_balancer": self.shards / self.balancers,
            "deliveries_a_balancer_s": self.deliveries / self.balancers,
            "deliveries_a_connection_s": self.deliveries / self.connections,
            "balancers_a_region": self.balancers / self.regions,
            "balancers_a_zone": balancers_a_zone,
            "connections_of_a_lost_zone": connections_of_a_zone,
            "extra_a_balancer_of_a_lost_zone": connections_of_a_zone / (self.balancers - balancers_a_zone),
            "balancers_a_machine": self.balancers / self.machines,
            "s_between_changes": SECONDS_PER_DAY / self.changes,
            "s_between_replacements": SECONDS_PER_DAY / self.replaced,
            "bytes_s_over_all": self.bytes_s * self.balancers,
        }
