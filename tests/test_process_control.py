"""Tests of `lotusroute.process_control`, which starts lotusroute processes and observes them.

A wait that does not end when its process exits, or a port that two processes are given, would make tests and
measurements fail for reasons outside the program that they examine.
"""

import concurrent.futures
import io
import json
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import threading
import tomllib
import urllib.request

import pytest
from balancer_process import free_port

from lotusroute.address import Address
from lotusroute.fleet.config import load_fleet_config
from lotusroute.process_control import config_files
from lotusroute.process_control.discovery_server import DiscoveryServer
from lotusroute.process_control.errors import (
    LogTimeoutError,
    NoFreePortsError,
    NotReadyError,
    ProcessEndedError,
)
from lotusroute.process_control.free_ports import (
    ALLOCATABLE_PORTS,
    BLOCK_SIZE,
    PortAllocator,
    system_assigned_port,
)
from lotusroute.process_control.log_follower import WaitableList, follow_lines
from lotusroute.process_control.logged_process import LoggedProcess
from lotusroute.process_control.process_start import ProcessOptions, module_command, start_process
from lotusroute.process_control.readiness import wait_until_ready

COUNTERS_SCRIPT = """
import signal, sys
def log_counters(*_):
    print("event=counters calls=3 share=0.5", file=sys.stderr, flush=True)
signal.signal(signal.SIGUSR1, log_counters)
print("event=ready", file=sys.stderr, flush=True)
while True:
    signal.pause()
"""


def script_command(script):
    return [sys.executable, "-c", script]


def test_the_balancer_imports_no_module_of_process_control():
    script = "import sys, lotusroute.__main__; print(*sys.modules)"
    options = ProcessOptions(stdout=subprocess.PIPE)
    output, _ = start_process(script_command(script), options).communicate(timeout=20)
    loaded = output.split()
    assert "lotusroute.__main__" in loaded
    assert [name for name in loaded if name.startswith("lotusroute.process_control")] == []


# Start


def test_a_process_runs_with_the_environment_directory_and_initializer_of_its_options(tmp_path, monkeypatch):
    monkeypatch.setenv("INHERITED", "7")
    script = "import os; print(os.getcwd(), os.environ['INHERITED'], os.environ['ADDED'])"
    script += "; print(oct(os.umask(0)))"
    options = ProcessOptions(
        environment={"ADDED": "yes"},
        working_directory=tmp_path,
        initialize=lambda: os.umask(0o077),
        stdout=subprocess.PIPE,
    )
    output, _ = start_process(script_command(script), options).communicate(timeout=20)
    assert output == f"{tmp_path} 7 yes\n0o77\n"


def test_module_command_uses_the_current_interpreter():
    assert module_command("lotusroute", "leases") == [sys.executable, "-m", "lotusroute", "leases"]


# Logs


def test_lines_of_a_stream_are_read_to_its_end():
    lines = WaitableList()
    follow_lines(io.StringIO("a\nb\n"), lines.append).join(5.0)
    assert lines.copy() == ["a\n", "b\n"] and len(lines) == 2


def test_a_thread_waits_for_an_item_that_another_thread_appends():
    items = WaitableList()
    threading.Timer(0.05, items.append, [3]).start()
    assert items.wait_for(sum, 5.0) == 3
    assert items.wait_for(lambda found: len(found) > 1, 0.01) is None


def test_the_counters_of_a_process_are_read_from_its_log():
    with LoggedProcess(script_command(COUNTERS_SCRIPT)) as process:
        process.wait_for_line("event=ready")
        assert process.counters() == {"calls": 3}
        assert process.is_running()
    assert process.process.returncode == -signal.SIGKILL


def test_a_wait_for_a_line_fails_when_the_process_exits_and_shows_its_log():
    process = LoggedProcess(script_command("import sys; sys.exit('no configuration')"))
    message = "process exited with code 1 before logging 'ready'; last lines of the log:\nno configuration"
    with pytest.raises(ProcessEndedError, match=message) as error:
        process.wait_for_line("ready")
    assert error.value.exit_code == 1
    process.stop()


def test_a_wait_for_a_line_fails_after_its_timeout():
    with LoggedProcess(script_command(COUNTERS_SCRIPT)) as process, pytest.raises(LogTimeoutError):
        process.wait_for_line("no such line", timeout=0.1)


# Ports and readiness


def test_allocator_returns_neither_recent_ports_nor_ports_in_use():
    first, second, third = (free_port() for _ in range(3))
    allocator = PortAllocator([first, second, third])
    with socket.create_server(("127.0.0.1", third)):
        assert {allocator.allocate(), allocator.allocate()} == {first, second}


def test_processes_that_run_at_the_same_time_allocate_disjoint_ports():
    # Their number is above that of the ports in a block, so each process reserves a second one.
    count, processes = BLOCK_SIZE + 50, 4
    context = multiprocessing.get_context("fork")
    barrier = context.Barrier(processes)
    results = context.Queue()

    def allocate():
        allocator = PortAllocator()
        ports = [allocator.allocate() for _ in range(count)]
        results.put(ports)
        barrier.wait(10.0)  # a reservation ends with its process

    children = [context.Process(target=allocate, daemon=True) for _ in range(processes)]
    for child in children:
        child.start()
    allocated = [results.get(timeout=10.0) for _ in children]
    for child in children:
        child.join(10.0)
    assert len({port for ports in allocated for port in ports}) == processes * count


def test_threads_do_not_allocate_the_same_port():
    for _ in range(40):
        allocator = PortAllocator(ALLOCATABLE_PORTS[-20:])
        with concurrent.futures.ThreadPoolExecutor(8) as threads:
            ports = list(threads.map(lambda _, allocator=allocator: allocator.allocate(), range(8)))
        assert len(set(ports)) == 8


def test_a_forked_process_does_not_use_the_ports_of_its_parent():
    allocator = PortAllocator()
    parent_port = allocator.allocate()
    context = multiprocessing.get_context("fork")
    results = context.Queue()
    child = context.Process(target=lambda: results.put(allocator.allocate()), daemon=True)
    child.start()
    child_port = results.get(timeout=10.0)
    child.join(10.0)
    blocks = {(port - ALLOCATABLE_PORTS.start) // BLOCK_SIZE for port in (child_port, parent_port)}
    assert len(blocks) == 2


def test_an_allocator_without_a_free_port_raises_an_error():
    with pytest.raises(NoFreePortsError):
        PortAllocator([]).allocate()


def test_system_assigned_port_is_free():
    with socket.create_server(("127.0.0.1", system_assigned_port())) as listener:
        assert listener.getsockname()[0] == "127.0.0.1"


def test_a_balancer_is_ready_once_it_answers_a_health_check():
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def answer():
            connection, _ = listener.accept()
            with connection:
                assert connection.recv(16) == b"PING\r\n"
                connection.sendall(b"PONG\r\n")

        threading.Thread(target=answer, daemon=True).start()
        wait_until_ready(listener.getsockname()[1], timeout=5.0)


def test_a_balancer_that_does_not_answer_is_not_ready():
    port = free_port()
    with pytest.raises(NotReadyError, match=f"port {port}: "):
        wait_until_ready(port, timeout=0.1)


# Discovery


def poll(server, query):
    with urllib.request.urlopen(f"http://{server.address}/api/targets{query}", timeout=5.0) as response:
        return json.load(response)


@pytest.fixture
def discovery_server():
    server = DiscoveryServer([config_files.endpoint_entry("s-1", 9)])
    yield server
    server.shutdown()


def test_a_poll_without_a_version_gets_the_complete_list(discovery_server):
    answer = poll(discovery_server, "")
    assert answer["seq"] == 1 and answer["whole"] is True
    assert [entry["host"] for entry in answer["hosts"]] == ["s-1"]


def test_a_long_poll_gets_a_change_or_an_empty_list_at_its_deadline(discovery_server):
    assert poll(discovery_server, "?from=1&hold_ms=50") == {"seq": 1, "whole": False, "hosts": []}
    changed = [config_files.endpoint_entry("s-2", 9)]
    threading.Timer(0.1, discovery_server.publish, [changed]).start()
    assert poll(discovery_server, "?from=1&hold_ms=4000") == {"seq": 2, "whole": False, "hosts": changed}


# Configuration files


def test_a_balancer_configuration_has_only_the_keys_that_are_set(tmp_path):
    config = config_files.BalancerConfig(
        name="n1", listen=Address("127.0.0.1", 1), discovery=Address("127.0.0.1", 2), settings={}
    )
    file = tmp_path / "config.json"
    assert config.write(file) == str(file)
    assert json.loads(file.read_text()) == {
        "name": "n1",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:2",
        "settings": {},
        "known": {"seq": 0, "hosts": []},
    }


def test_a_fleet_configuration_is_loaded_as_it_was_written(tmp_path):
    names = ["a", "b", "c"]
    config = config_files.FleetConfig(
        name="f",
        acceptors=names,
        tasks=["watch"],
        peers={name: Address("127.0.0.1", 9000 + index) for index, name in enumerate(names)},
        state_directory=tmp_path,
        lease_ms=1_500.0,
    )
    file = tmp_path / "fleet.toml"
    loaded = load_fleet_config(config.write(file))
    assert loaded.name == "f" and loaded.peers["c"] == Address("127.0.0.1", 9002)
    document = tomllib.loads(file.read_text())
    assert document["state"] == str(tmp_path) and document["lease_ms"] == 1_500.0
    assert "guests" not in document


def test_a_relays_configuration_names_the_relays_of_each_zone(tmp_path):
    file = tmp_path / "relays.toml"
    config = config_files.RelaysConfig(name="f", zone="a", relays={"a": {"r1": Address("127.0.0.1", 9000)}})
    config.write(file)
    assert tomllib.loads(file.read_text()) == {
        "name": "f",
        "zone": "a",
        "relays": {"a": {"r1": "127.0.0.1:9000"}},
    }
