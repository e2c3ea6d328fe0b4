"""Golden configuration files: their literal contents and the values that are read from them.

The files must stay readable when types or modules are renamed, because a new version reads the files of an
older one. So apart from enum members, the expected values are literals, without names of the project.
"""

import json

from lotusroute.fleet import config
from lotusroute.net import config as net_config
from lotusroute.relay import config as relays_config
from lotusroute.routing import events

FLEET_FILE = """name = "example"\nstate = "/var/lib/x"\nkeepers = ["n1", "n2", "n3"]
tasks = ["watch", "cold", "check", "origin"]\nlease_ms = 1500\nterm_ms = 90000\nguests = 400
[peers]\nn1 = "10.0.0.1:9700"\nn2 = "10.0.0.2:9700"\nn3 = "10.0.0.3:9700"\n"""
RELAYS_FILE = """name = "example"\nzone = "a"
[relays.a]\nr1 = "10.0.0.1:9800"\n[relays.b]\nr3 = "10.0.0.3:9800"\n"""
CONFIG = """{"name": "n1", "listen": "127.0.0.1:9000", "discovery": "127.0.0.1:8500", "seed": "5eed",
"limits": {"sockets": 2048, "memory_mb": 80}, "known": {"seq": 3, "whole": true, "hosts": [{"host": "s-1"}]},
"settings": {"me": 2, "siblings": 3, "weights": "rough", "discovery": "push", "tenants": [{"name": "t1"}],
 "family_info": {"groups": true, "tells_delay": true, "message_aim": [90, 40]},
 "rules": {"ask_every": 5000, "cold_from": 0.5, "warm_after": 700, "tip_multiple": 1.5,
  "stop_sending_within": 600},
 "limits": {"max_connects": 4, "connect_timeout": 300, "retry_after": true, "max_retry_after": 900},
 "service_types": [{"name": "live", "setup_target": 300, "deadline": 1800, "effect": "idempotency_key",
  "group": "zone", "window": 60000}, {"name": "a", "effect": "read_like"}, {"name": "b"}]}}"""
# The fields of a service configuration after its service types.
SERVICE_CONFIG_TAIL = (2, 3, True, True, False, 40.0, False, 5000.0, 4, 900.0, 0.5, 700.0, 1.5)


def test_the_operators_files_are_read_to_these_values(tmp_path):
    file = tmp_path / "file"
    file.write_text(FLEET_FILE)
    name, state_dir, peers, tasks, terms, max_subscribers = config.load_fleet_config(file)
    assert (name, state_dir, max_subscribers) == ("example", "/var/lib/x", 400)
    assert peers == {f"n{at}": (f"10.0.0.{at}", 9700) for at in (1, 2, 3)}
    assert tasks == ("watch", "cold", "check", "origin")
    assert terms == (("n1", "n2", "n3"), 1500.0, 0.01, 50.0, 400.0, 90000.0, 1000.0)
    file.write_text(RELAYS_FILE)
    assert relays_config.load_relays_config(file) == (
        "example",
        {"r1": ("10.0.0.1", 9800)},
        {"r3": ("10.0.0.3", 9800)},
    )
    file.write_text(CONFIG)
    config_read = net_config.load_config({"LB_CONFIG": str(file), "LB_NAME": "n2", "LB_LOG": "debug"})
    cached_list = json.loads(CONFIG)["known"]
    types = {
        "live": (300.0, events.Idempotency.IDEMPOTENCY_KEY, "zone", 60000.0),
        "a": (0.0, events.Idempotency.IDEMPOTENT, "all", 0.0),
    }
    types["b"] = (0.0, events.Idempotency.NON_IDEMPOTENT, "all", 0.0)
    process_fields = (
        "n2",
        ("127.0.0.1", 9000),
        ("127.0.0.1", 8500),
        0x35656564,
        2048,
        80.0,
        {"t1"},
        cached_list,
    )
    assert config_read == (
        *process_fields,
        (types, *SERVICE_CONFIG_TAIL),
        300.0,
        3000.0,
        600.0,
        True,
        "DEBUG",
    )
    environ = {"LB_FLEET": "x", "LB_RELAYS": "y", "LB_LISTEN": "h:1", "LB_DISCOVERY": "h:2"}
    assert (net_config.fleet_config_path(environ), net_config.relays_config_path(environ)) == ("x", "y")
    config_read = net_config.load_config({**environ, "LB_CONFIG": str(file)})
    assert (config_read.listen, config_read.discovery) == (("h", 1), ("h", 2))
