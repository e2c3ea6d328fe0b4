"""Configuration reloads: the keys that are logged for changes that need a restart."""

import pytest

from lotusroute.net import config

SETTINGS = {"service_types": [{"name": "live"}]}
DOCUMENT = {"name": "n1", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}
KEYS = (
    "name listen discovery seed limits.sockets limits.memory_mb settings.tenants known settings "
    "settings.limits.connect_timeout settings.service_types settings.rules.stop_sending_within "
    "settings.discovery LB_LOG"
)


def test_each_field_is_logged_under_the_key_that_sets_it():
    assert " ".join(config.CONFIGURATION_KEYS[field] for field in config.BalancerConfig._fields) == KEYS
    assert len(config.CONFIGURATION_KEYS) == len(config.BalancerConfig._fields)


@pytest.mark.parametrize(
    ("changes", "keys"),
    [
        ({}, []),
        ({"name": "n2", "listen": "127.0.0.1:3"}, ["name", "listen"]),
        ({"discovery": "127.0.0.1:4", "limits": {"sockets": 2, "memory_mb": 3}}, []),
        ({"seed": "5eed", "known": {"seq": 9, "hosts": []}}, []),
        (
            {"settings": {**SETTINGS, "tenants": [{"name": "t"}], "siblings": 2}},
            ["settings.tenants", "settings"],
        ),
        ({"settings": {**SETTINGS, "limits": {"connect_timeout": 90}}}, ["settings.limits.connect_timeout"]),
        ({"settings": {"service_types": [{"name": "live", "deadline": 900}]}}, ["settings.service_types"]),
        (
            {"settings": {**SETTINGS, "rules": {"stop_sending_within": 90}}},
            ["settings.rules.stop_sending_within"],
        ),
        ({"settings": {**SETTINGS, "discovery": "push"}}, ["settings.discovery"]),
    ],
)
def test_a_reload_names_the_changed_keys_that_need_a_restart(changes, keys):
    old, new = config.parse_config(DOCUMENT, {}), config.parse_config({**DOCUMENT, **changes}, {})
    assert config.settings_needing_restart(old, new) == keys
