"""Settings, ways to close connections, and resetting servers for tests of how flows end."""

import pathlib

from balancer_process import SETTINGS
from director_host import FakeHost
from fake_servers import FakeServer

from lotusroute.process_control.tcp_reset import reset_on_close

EFFECTS = "read_like", "idempotency_key", "non_idempotent"


# A key whose default server is s0 when there are two servers.
KEY_OF_FIRST_SERVER = next(
    key for key in map(str, range(99)) if FakeHost(servers=2).default_server(key) == "s0"
)


def flow_settings(effect="read_like", deadline=4_000, connect_timeout=5_000, grace=2_000, **fields):
    """Return SETTINGS with one service type; `deadline`, `connect_timeout` and `grace` are in ms."""
    service_type = {"name": "live", "setup_target": 300, "deadline": deadline, "effect": effect, **fields}
    return {
        **SETTINGS,
        "service_types": [service_type],
        "rules": {"stop_sending_within": grace},
        "limits": {**SETTINGS["limits"], "connect_timeout": connect_timeout},
    }


def reset_connection(client):
    """Close a connection with a reset."""
    reset_on_close(client.conn)
    client.close()
    client.conn.close()


def close_connection(client):
    """Close a connection with a FIN."""
    client.close()
    client.conn.close()


def descriptor_count(balancer):
    """Return the number of descriptors that the balancer process has open."""
    return len(list(pathlib.Path(f"/proc/{balancer.process.pid}/fd").iterdir()))


def is_connecting_to(server):
    """Return whether a connection to the server has sent its SYN and is not established yet."""
    remote_port, syn_sent = f":{server.port:04X}", "02"
    sockets = (line.split() for line in pathlib.Path("/proc/net/tcp").read_text().splitlines()[1:])
    return any(fields[2].endswith(remote_port) and fields[3] == syn_sent for fields in sockets)


def resetting_server(name):
    """Return a server that resets each connection after its first line, until a reply is set."""
    server = FakeServer(name, None)
    serve = server.serve_connection

    def reset_after_first_line(conn):
        server.lines.append(conn.recv(4096))
        reset_on_close(conn)
        conn.close()

    def serve_connection(conn):
        handler = serve if server.reply else reset_after_first_line
        handler(conn)

    server.serve_connection = serve_connection
    return server
