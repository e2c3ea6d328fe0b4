"""The longest line: the 4 KiB of the protocol are those of its text, or of its text with CR LF."""

import contextlib

import pytest

LONGEST = 4_096
ACCEPTED = [LONGEST - 2, LONGEST - 1, LONGEST]
TOO_LONG = [LONGEST + 1, LONGEST + 2, 2 * LONGEST]


def open_line(length: int, number: int) -> bytes:
    """Return the first line of a flow, without its ending, padded to a length."""
    start = b"OPEN len%d k%d c=live,d=1800,h=" % (number, number)
    return start + b"x" * (length - len(start))


def send_in_pieces(connection, data, piece_size):
    """Send data in several writes."""
    for start in range(0, len(data), piece_size):
        connection.conn.sendall(data[start : start + piece_size])


@pytest.mark.parametrize("piece_size", [10_000, LONGEST])
@pytest.mark.parametrize("length", ACCEPTED)
def test_a_line_of_the_longest_length_is_passed_on_both_ways(shared_balancer, length, piece_size):
    client = shared_balancer.open_flow()
    assert client.readline() == b"UP r1\r\n"
    line = b"a" * length + b"\r\n"
    send_in_pieces(client, line, piece_size)
    assert client.readline() == line
    client.conn.sendall(b"next\r\n")
    assert client.readline() == b"next\r\n"


@pytest.mark.parametrize("length", TOO_LONG)
def test_a_longer_line_resets_the_connection(shared_balancer, length):
    client = shared_balancer.open_flow()
    assert client.readline() == b"UP r1\r\n"
    with contextlib.suppress(ConnectionError):
        client.conn.sendall(b"a" * length + b"\r\n")
        assert client.readline() == b""


@pytest.mark.parametrize("length", ACCEPTED)
def test_a_first_line_of_the_longest_length_is_served(shared_balancer, length):
    client = shared_balancer.connect_and_send(open_line(length, length))
    assert client.readline() == b"UP r1\r\n"


@pytest.mark.parametrize("length", TOO_LONG)
def test_a_longer_first_line_is_rejected(shared_balancer, length):
    client = shared_balancer.connect_and_send(open_line(length, length))
    assert client.readline() == b"ERR\r\n"
