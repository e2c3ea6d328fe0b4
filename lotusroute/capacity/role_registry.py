"""The roles that `capacity measure` accepts, by name, with their default sizes."""

from lotusroute.capacity.data_plane_role import measure_data_plane
from lotusroute.capacity.direct_discovery_role import measure_direct_discovery
from lotusroute.capacity.endpoint_list_role import measure_endpoint_list
from lotusroute.capacity.fleet_role import measure_fleet
from lotusroute.capacity.measurement import Role
from lotusroute.capacity.relay_role import measure_relays

ROLE_BY_NAME: dict[str, Role] = {
    "data-plane": Role(measure_data_plane, (250, 500, 1_000, 2_000)),
    "direct-discovery": Role(measure_direct_discovery, (25, 50, 100, 200)),
    "fleet": Role(measure_fleet, (8, 30, 65, 125)),
    "list": Role(measure_endpoint_list, (100, 400, 1_600, 6_400)),
    "relays": Role(measure_relays, (20, 50, 100, 150)),
}
