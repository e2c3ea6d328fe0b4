"""The balancer's own configuration: what of it is logged by name."""

import pytest

from lotusroute.net import config

SETTINGS = {"service_types": [{"name": "live"}]}
DOCUMENT = {"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
LOGGED_NAMES = (
    "name listen discovery seed sockets memory_mb tenants known vip come_up longest grace pushed log_level"
)


def test_each_field_keeps_the_name_by_which_operators_know_it_in_the_log():
    assert " ".join(config.LOGGED_NAMES[field] for field in config.BalancerConfig._fields) == LOGGED_NAMES
    assert len(config.LOGGED_NAMES) == len(config.BalancerConfig._fields)


@pytest.mark.parametrize(
    "changes, logged",
    [
        ({}, []),
        ({"name": "n2", "listen": "127.0.0.1:3"}, ["name", "listen"]),
        ({"discovery": "127.0.0.1:4", "limits": {"sockets": 2, "memory_mb": 3}}, []),
        ({"seed": "5eed", "known": {"seq": 9, "hosts": []}}, []),
        ({"settings": {**SETTINGS, "tenants": [{"name": "t"}], "siblings": 2}}, ["tenants", "vip"]),
        ({"settings": {**SETTINGS, "limits": {"connect_timeout": 90}}}, ["come_up"]),
        ({"settings": {"service_types": [{"name": "live", "deadline": 900}]}}, ["longest"]),
        ({"settings": {**SETTINGS, "rules": {"stop_sending_within": 90}}}, ["grace"]),
        ({"settings": {**SETTINGS, "discovery": "push"}}, ["pushed"]),
    ],
)
def test_a_reload_logs_these_names_for_what_a_running_balancer_cannot_apply(changes, logged):
    old, new = config.parse_config(DOCUMENT, {}), config.parse_config({**DOCUMENT, **changes}, {})
    assert config.settings_needing_restart(old, new) == logged
