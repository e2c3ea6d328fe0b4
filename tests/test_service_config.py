"""Parsing of service settings: allowed values, and errors that give the value and the path."""

import pytest

from lotusroute.errors import ConfigError, MalformedNumberError, UnknownNameError
from lotusroute.routing.events import DedupScope
from lotusroute.service_config import LATENCY_OBJECTIVES_PATH, look_up, parse_number, parse_service_config

ONE_TYPE = {"service_types.count": "1", "service_types.0.name": "live"}


@pytest.mark.parametrize(
    ("text", "scope"),
    [("all", DedupScope.ALL), ("zone", DedupScope.ZONE), ("cell", DedupScope.CELL), ("x", DedupScope.NONE)],
)
def test_a_dedup_scope_is_parsed_and_an_unknown_one_means_no_servers(text, scope):
    service_config = parse_service_config({**ONE_TYPE, "service_types.0.group": text})
    assert service_config.service_types["live"].dedup_scope is scope


@pytest.mark.parametrize("text", ["", "ten", "nan", "inf"])
def test_a_malformed_number_raises_an_error_with_its_text(text):
    with pytest.raises(MalformedNumberError, match=f"^expected a finite number, got '{text}'$") as raised:
        parse_number(text)
    assert raised.value.text == text


def test_an_unknown_key_of_a_table_raises_an_error_with_its_kind_and_name():
    with pytest.raises(UnknownNameError, match=r"^unknown roster '9'; must be one of 1$") as raised:
        look_up({1: "a"}, 9, "roster")
    assert (raised.value.kind, raised.value.name) == ("roster", 9)


def test_the_error_for_a_key_of_an_empty_table_says_that_there_is_none():
    with pytest.raises(UnknownNameError, match=r"^unknown roster '9'; there is none so far$"):
        look_up({}, 9, "roster")


@pytest.mark.parametrize(
    ("path", "value", "message"),
    [
        (
            "service_types.0.effect",
            "x",
            "unknown value 'x'; must be one of read_like, idempotency_key, non_idem",
        ),
        ("limits.retry_after", "yes", "unknown value 'yes'; must be one of true, false"),
        ("limits.max_connects", "many", "expected a finite number, got 'many'"),
        ("limits.max_connects", "0", "0 is too small; must be at least 1$"),
        ("rules.cold_from", "1.5", "1.5 is too large; must be at most 1$"),
        ("service_types.0.setup_target", "0", "0 is too small; must be at least 1$"),
        ("service_types.0.setup_target", "-1", "-1 is too small; must be at least 1$"),
    ],
)
def test_an_invalid_setting_raises_a_config_error_that_begins_with_its_path(path, value, message):
    with pytest.raises(ConfigError, match=f"^{path}: {message}"):
        parse_service_config({**ONE_TYPE, path: value})


REPORTED_LATENCIES = {**ONE_TYPE, "family_info.tells_delay": "true"}


def test_a_missing_setup_target_is_an_error_if_reported_latencies_are_compared_with_it():
    with pytest.raises(ConfigError, match=r"^service_types\.0\.setup_target: required"):
        parse_service_config(REPORTED_LATENCIES)


@pytest.mark.parametrize(
    "settings",
    [
        ONE_TYPE,
        {**REPORTED_LATENCIES, "service_types.0.setup_target": "300"},
        {**REPORTED_LATENCIES, LATENCY_OBJECTIVES_PATH: "60"},
    ],
)
def test_a_missing_setup_target_is_no_error_if_nothing_is_compared_with_it(settings):
    assert parse_service_config(settings).service_types.keys() == {"live"}
