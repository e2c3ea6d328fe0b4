"""Draining servers and the graceful shutdown of the balancer, on loopback sockets."""

import pathlib
import random
import signal
import socket
import time
import types
from collections import Counter

import pytest
from balancer_process import SETTINGS, Balancer
from fake_servers import FakeServer
from waiting import wait_until

from lotusroute.net.flows.draining import MIGRATION_INTERVAL_MS, BatchMigrator
from lotusroute.net.flows.endpoints import DRAIN_MIGRATION_SPREAD_MS
from lotusroute.net.reasons import MigrationReason


def test_clients_of_two_servers_that_drain_at_once_are_all_migrated_in_time():
    # If both servers shared one lookup of candidates, the first could leave none to the second.
    servers = [FakeServer(f"s{index}", f"UP s{index}\r\n".encode()) for index in range(3)]
    with Balancer(*servers) as balancer:
        clients = [balancer.open_flow(at=f"s{index}") for index in (0, 1)]
        assert [client.readline() for client in clients] == [b"UP s0\r\n", b"UP s1\r\n"]
        balancer.discovery.entries = [servers[0].entry("DRAINING"), servers[1].entry("DRAINING")]
        balancer.discovery.seq = 2
        assert [client.readline() for client in clients] == [b"MOVE\r\n"] * 2
        assert "event failed" not in balancer.terminate()


def test_clients_of_a_draining_server_are_migrated_before_it_is_removed():
    draining, other = FakeServer("s1", b"UP one\r\n"), FakeServer("s2", b"UP two\r\n")
    with Balancer(draining) as balancer:
        clients = [balancer.open_flow(str(index)) for index in range(9)]
        assert {client.readline() for client in clients} == {b"UP one\r\n"}
        balancer.discovery.entries, balancer.discovery.seq = [draining.entry("DRAINING"), other.entry()], 2
        assert {client.readline() for client in clients} == {b"MOVE\r\n"}
        assert {client.readline() for client in clients} == {b""}
        assert balancer.open_flow().readline() == b"UP two\r\n"


def test_balancers_with_one_client_each_spread_their_migrations_though_all_get_the_list_at_once():
    # When 18 servers drain at once, 200 balancers may have one or two clients of each. If each balancer
    # rounded up its batch of less than one client, all clients would migrate in one step, as a connection
    # storm.
    migrated, steps = Counter(), int(DRAIN_MIGRATION_SPREAD_MS / MIGRATION_INTERVAL_MS)
    for seed in range(200):
        established = [types.SimpleNamespace(number=1)]
        migrator = BatchMigrator(lambda *_, established=established: established.clear(), random.Random(seed))
        for step in range(steps):
            before = len(established)
            time_left = DRAIN_MIGRATION_SPREAD_MS - step * MIGRATION_INTERVAL_MS
            migrator.migrate_batch(established, time_left, MigrationReason.SERVER_DRAINS)
            migrated[step] += before - len(established)
    assert sum(migrated.values()) == 200 and max(migrated.values()) <= 3 * 200 / steps


def test_at_shutdown_new_flows_are_rejected_and_clients_migrated_between_lines():
    server = FakeServer("s1")
    with Balancer(server) as balancer:
        client = balancer.open_flow()
        client.readline()
        server.connections[-1].sendall(b"M 7 half a li")
        time.sleep(0.1)
        balancer.process.send_signal(signal.SIGTERM)
        time.sleep(0.1)
        assert balancer.open_flow().readline().startswith(b"BUSY")
        assert client.readline() == b"MOVE\r\n" and client.readline() == b""
        balancer.terminate(signal.SIGTERM)
        assert balancer.process.returncode == 0


def test_the_last_client_migrated_before_the_exit_reads_its_move():
    # A balancer that exits in the step that migrates the last clients would not write their MOVE.
    with Balancer(FakeServer("s1")) as balancer:
        clients = [balancer.open_flow(str(index)) for index in range(15)]
        assert {client.readline() for client in clients} == {b"UP r1\r\n"}
        balancer.process.send_signal(signal.SIGTERM)
        assert {client.readline() for client in clients} == {b"MOVE\r\n"}
        assert balancer.terminate(0) is not None and balancer.process.returncode == 0


def test_with_short_connect_timeouts_all_clients_are_migrated_before_the_kill():
    service_types = [{"name": "live", "setup_target": 100, "deadline": 500}]
    settings = {**SETTINGS, "service_types": service_types}
    with Balancer(FakeServer("s1"), settings=settings, env={"LB_LOG": "debug"}.items()) as balancer:
        clients = [balancer.open_flow(str(index), timeout_ms=500) for index in range(20)]
        assert {client.readline() for client in clients} == {b"UP r1\r\n"}
        start = time.monotonic()
        log = balancer.terminate(signal.SIGTERM)
        # 0.5 s, and 0.7 s until the platform kills the process; the log tells what took longer
        assert time.monotonic() - start < 1.2, f"SIGTERM at mono={start:.3f}: {log}"
        assert {client.readline() for client in clients} == {b"MOVE\r\n"}


def test_signals_that_arrive_during_startup_are_handled_once_it_is_complete():
    # A reload may be requested while a restarted process still starts. The default action of SIGHUP
    # terminates the process.
    starting = Balancer(FakeServer("s1"))
    status, sighup_bit = pathlib.Path(f"/proc/{starting.process.pid}/status"), 1 << signal.SIGHUP - 1
    wait_until(lambda: int(status.read_text().split("SigCgt:")[1].split()[0], 16) & sighup_bit)
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(("127.0.0.1", starting.port))
    starting.process.send_signal(signal.SIGHUP)
    with starting as balancer:
        assert balancer.open_flow().readline() == b"UP r1\r\n"
        log = balancer.terminate(signal.SIGTERM)
    assert "event=reloaded" in log and balancer.process.returncode == 0


def test_a_flow_in_flight_at_shutdown_is_completed_and_then_migrated():
    server = FakeServer("s1", None)
    with Balancer(server) as balancer:
        client = balancer.open_flow(timeout_ms=1700)
        wait_until(lambda: server.connections)
        balancer.process.send_signal(signal.SIGTERM)
        time.sleep(0.2)
        server.connections[0].sendall(b"UP late\r\n")
        assert client.readline() == b"UP late\r\n" and client.readline() == b"MOVE\r\n"
