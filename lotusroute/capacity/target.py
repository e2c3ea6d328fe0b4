"""The operators' target for two years from now, and what follows from it by division alone.

Owns those figures and the sums. It must never hold a figure that was measured: those come from runs.
"""

from typing import NamedTuple


class Target(NamedTuple):
    """What the system has to carry."""

    balancers: int = 6_200
    connections: int = 400_000_000
    shards: int = 1_500_000
    listeners: int = 480_000  # of the largest topic
    deliveries: float = 140e6  # a second
    delivery_ms: float = 370.0  # for 99 in 100
    regions: int = 8
    zones: int = 19
    changes: int = 8_000  # of configuration, a day
    in_force_s: float = 4.0
    core: float = 0.035  # for control, a balancer
    memory_mb: float = 64.0
    bytes_s: float = 8_192.0
    machines: int = 44  # for control
    machines_fail: int = 19  # a day
    replaced: int = 540  # processes a day

    def worked_out(self) -> dict[str, float]:
        """By division.

        >>> figures = Target().worked_out()
        >>> round(figures["connections_a_balancer"]), round(figures["deliveries_a_balancer_s"])
        (64516, 22581)
        >>> round(figures["balancers_a_zone"]), round(figures["balancers_a_machine"])
        (326, 141)
        """
        zone = self.balancers / self.zones
        return {
            "connections_a_balancer": self.connections / self.balancers,
            "descriptors_a_balancer": 2 * self.connections / self.balancers,
            "shards_a_balancer": self.shards / self.balancers,
            "deliveries_a_balancer_s": self.deliveries / self.balancers,
            "deliveries_a_connection_s": self.deliveries / self.connections,
            "balancers_a_region": self.balancers / self.regions,
            "balancers_a_zone": zone,
            "connections_of_a_lost_zone": self.connections / self.zones,
            "extra_a_balancer_of_a_lost_zone": self.connections / self.zones / (self.balancers - zone),
            "balancers_a_machine": self.balancers / self.machines,
            "s_between_changes": 86_400 / self.changes,
            "s_between_replacements": 86_400 / self.replaced,
            "bytes_s_over_all": self.bytes_s * self.balancers,
        }
