"""Configuration at the start and on reload, with a balancer process on loopback sockets."""

import json
import signal
import time

import pytest
from balancer_process import SETTINGS, Balancer
from fake_discovery import FakeDiscovery
from fake_servers import FakeServer
from waiting import wait_until

from lotusroute.errors import InvalidValueError
from lotusroute.net import config, structured_log
from lotusroute.net.balancer import BalancerCore
from lotusroute.net.downstream.events import RequestReceived
from lotusroute.net.downstream.open_request import parse_open_request
from lotusroute.routing import events

VALID_CONFIG = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": SETTINGS}


def test_counters_are_printed_on_a_signal_and_at_the_exit():
    with Balancer(FakeServer("s1")) as balancer:
        balancer.open_flow().readline()
        balancer.process.send_signal(signal.SIGUSR1)
        time.sleep(0.2)
        log = balancer.terminate(signal.SIGTERM)
        assert balancer.process.returncode == 0
        assert log.count("event=counters") == 2 and "established=1" in log and "flows=1" in log


def test_a_new_discovery_address_is_followed_at_once_though_the_environment_has_the_old_one():
    one, two = FakeServer("s1", b"UP one\r\n"), FakeServer("s2", b"UP two\r\n")
    old, new = FakeDiscovery(one), FakeDiscovery(two)
    old_address = f"127.0.0.1:{old.server_port}"
    with Balancer(one, env={"LB_DISCOVERY": old_address}.items()) as balancer:
        client = balancer.open_flow()
        assert client.readline() == b"UP one\r\n"
        # The poll in flight is never answered. Neither it nor a backoff may delay polls to the new address.
        old.seq = 0
        time.sleep(0.2)
        start = time.monotonic()
        balancer.reload(discovery=f"127.0.0.1:{new.server_port}")
        wait_until(lambda: balancer.open_flow().readline() == b"UP two\r\n")
        assert time.monotonic() - start < 1.0
        client.write(b"M 1 a\r\n")
        assert client.readline() == b"M 1 a\r\n"
        # Return to the first address, whose versions start at 1 again, with two reloads in a row. Then reload
        # once more during the shutdown.
        old.entries, old.seq = [one.entry()], 1
        balancer.reload(discovery=old_address)
        balancer.reload(discovery=old_address)
        wait_until(lambda: balancer.open_flow().readline() == b"UP one\r\n")
        balancer.process.send_signal(signal.SIGTERM)
        balancer.reload()
        balancer.terminate(signal.SIGTERM)
        assert balancer.process.returncode == 0


def test_a_reload_rejects_a_malformed_file_by_its_key_and_names_keys_that_need_a_restart():
    with Balancer(FakeServer("s1"), sockets=68) as balancer:
        clients = [balancer.open_flow(str(index)) for index in range(2)]
        assert {client.readline() for client in clients} == {b"UP r1\r\n"}
        for text in ("{", json.dumps({**balancer.config, "discovery": "nowhere"})):
            balancer.reload(text)
            time.sleep(0.2)
        assert balancer.open_flow().readline() == b"BUSY 1000\r\n"
        balancer.reload(name="n2", limits={"sockets": 1024})
        wait_until(lambda: balancer.open_flow().readline() == b"UP r1\r\n")
        log = balancer.terminate()
    assert log.count('event="reload rejected" reason="LB_CONFIG: ') == 1
    assert "LB_DISCOVERY: 'nowhere' is not host:port" in log and "needs_restart=name" in log


@pytest.mark.parametrize(
    ("key", "changes"),
    [
        ("LB_CONFIG", None),
        ("LB_LISTEN", {"listen": "here"}),
        ("LB_DISCOVERY", {"discovery": "1.2.3.4:99999"}),
        ("LB_NAME", {"name": 7}),
        ("limits.sockets", {"limits": {"sockets": "many"}}),
        ("settings.limits.connect_timeout", {"settings": {**SETTINGS, "limits": {"connect_timeout": -1}}}),
        ("settings: limits.max_connects", {"settings": {**SETTINGS, "limits": {"max_connects": "x"}}}),
        ("settings.service_types", {"settings": {}}),
        ("known", {"known": [1]}),
    ],
)
def test_an_error_starts_with_the_invalid_key(key, changes, tmp_path):
    file = tmp_path / "config.json"
    if changes is not None:
        file.write_text(json.dumps({**VALID_CONFIG, **changes}))
    with pytest.raises(InvalidValueError, match=f"^{key}"):
        config.load_config({"LB_CONFIG": str(file)})


def test_an_invalid_setting_at_the_start_exits_with_2_and_a_message():
    balancer = Balancer(FakeServer("s1"), env={"LB_LISTEN": "nowhere"}.items())
    assert "LB_LISTEN: 'nowhere' is not host:port" in balancer.process.communicate(timeout=9)[1]
    assert balancer.process.returncode == 2


def test_nested_settings_give_a_service_config_as_the_flat_ones_of_the_simulator_do():
    # The configuration file nests the settings, the simulator sends them flat; one parser reads both.
    service_config = config.parse_service_config(dict(config.flatten(SETTINGS)))
    assert service_config.service_types == {"live": events.ServiceType(300.0)}
    assert service_config.max_retry_after == 1000.0


class FakeConnection:
    """A client's connection that records its answer and stays connected."""

    disconnected = False
    answer = ()

    def has_disconnected(self):
        return False

    def reject_malformed(self):
        self.answer = b"ERR"

    def send_final_answer(self, answer):
        self.answer = answer


def test_an_existing_connection_long_after_the_start_is_rejected_and_takes_no_capacity(tmp_path):
    file = tmp_path / "config.json"
    file.write_text(json.dumps(VALID_CONFIG))
    core = BalancerCore(config.load_config({"LB_CONFIG": str(file)}), structured_log.Counters())
    for delay, flows in (0.0, 1), (70_000.0, 1):
        core.loop.clock_offset += delay
        connection = FakeConnection()
        request = parse_open_request(f"OPEN id{delay:.0f} k c=live,d=4294967,at=s9\r\n".encode())
        core.flow_manager.requests.request_received(RequestReceived(connection, request, core.clock()))
        assert len(core.flow_table) == flows
    assert connection.answer == b"ERR"
