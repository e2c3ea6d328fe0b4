"""Tests of the TCP proxy that injects network faults between processes."""

import contextlib
import socket
import threading
import time

import pytest

from lotusroute.fault_injection.network_proxy import Link, NetworkProxy

TIMEOUT_S = 5.0
BLOCKED_TIMEOUT_S = 0.2  # a link on which no data arrives within this time is considered blocked
A_TO_B = Link("a", "b")
B_TO_A = Link("b", "a")


def _serve_echo(listener):
    with contextlib.suppress(OSError):
        while True:
            connection, _ = listener.accept()
            threading.Thread(target=_echo_connection, args=(connection,), daemon=True).start()


def _echo_connection(connection):
    with contextlib.suppress(OSError), connection:
        while data := connection.recv(1024):
            connection.sendall(data)


@pytest.fixture
def proxy():
    """A proxy between processes a and b, where b echoes all data."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        threading.Thread(target=_serve_echo, args=(listener,), daemon=True).start()
        proxy = NetworkProxy(["a", "b"], {"b": listener.getsockname()[1]})
        yield proxy
        proxy.close()


@pytest.fixture
def connection(proxy):
    """A connection from a to b that has already echoed data."""
    with socket.create_connection(("127.0.0.1", proxy.port(A_TO_B)), TIMEOUT_S) as connection:
        exchange(connection, b"first")
        yield connection


def exchange(connection, data):
    """Send data, wait for its echo, and return the elapsed seconds."""
    sent_at = time.monotonic()
    connection.sendall(data)
    received = b""
    while len(received) < len(data):
        received += connection.recv(1024)
    assert received == data
    return time.monotonic() - sent_at


@pytest.mark.parametrize("link", [A_TO_B, B_TO_A])
def test_data_sent_on_a_blocked_link_arrives_after_it_is_unblocked(proxy, connection, link):
    proxy.block(link)
    connection.sendall(b"late")
    connection.settimeout(BLOCKED_TIMEOUT_S)
    with pytest.raises(TimeoutError):
        connection.recv(1024)
    connection.settimeout(TIMEOUT_S)
    proxy.unblock(link)
    assert connection.recv(1024) == b"late"


def test_partition_blocks_both_directions_and_unblock_removes_all_blocks(proxy):
    proxy.partition(["a"], ["b"])
    assert proxy.blocked == {A_TO_B, B_TO_A}
    proxy.unblock()
    assert proxy.blocked == set()


def test_a_connection_opened_on_a_blocked_link_is_forwarded_after_it_is_unblocked(proxy):
    proxy.block(A_TO_B)
    with socket.create_connection(("127.0.0.1", proxy.port(A_TO_B)), TIMEOUT_S) as connection:
        proxy.unblock(A_TO_B)
        exchange(connection, b"hello")


@pytest.mark.parametrize("link", [A_TO_B, B_TO_A, None])
def test_reset_ends_the_connections_between_two_processes_or_all(proxy, connection, link):
    if link is None:
        proxy.reset_all()
    else:
        proxy.reset(*link)
    with pytest.raises(ConnectionResetError):
        connection.recv(1024)


def test_reset_keeps_connections_of_other_pairs_open(proxy, connection):
    proxy.reset("a", "c")
    exchange(connection, b"alive")


def test_reset_after_forwards_the_given_bytes_and_resets_once(proxy, connection):
    proxy.reset_after[B_TO_A] = 3
    connection.sendall(b"abcdef")
    received = b""
    with pytest.raises(ConnectionResetError):
        while True:
            received += connection.recv(1024)
    assert received in (b"", b"abc")  # a reset may discard what the receiver has not read
    assert proxy.reset_after == {}


def test_delay_defers_forwarding(proxy, connection):
    proxy.delays[A_TO_B] = 0.2
    assert exchange(connection, b"slow") >= 0.2


def test_rate_throttles_a_link(proxy, connection):
    proxy.rates[A_TO_B] = 50.0
    assert exchange(connection, b"0123456789") >= 10 / 50.0 - 0.05


def test_a_connection_that_waits_for_a_blocked_link_can_be_reset(proxy, connection):
    proxy.block(A_TO_B)
    connection.sendall(b"never")
    proxy.reset_all()
    with pytest.raises(ConnectionResetError):
        connection.recv(1024)
