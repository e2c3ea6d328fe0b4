"""The lease service: the calls and the configurations that it rejects."""

import pytest
from golden_bytes_support import PROPOSE_B, lease_service_at_fixed_clock

from lotusroute.errors import ConfigError
from lotusroute.fleet.errors import (
    MalformedRequestError,
    NotAnAcceptorError,
    ObserverCallError,
    SpoofedRequestError,
    UnknownCallError,
)


@pytest.mark.parametrize(
    ("call", "error", "message"),
    [
        (("-", "propose", PROPOSE_B), ObserverCallError, "observers may only call 'show'"),
        (("b", "undefined", b""), UnknownCallError, "unknown call 'undefined'"),
        (("b", "propose", b"\xff"), MalformedRequestError, "malformed 'propose' request: "),
        (("c", "propose", PROPOSE_B), SpoofedRequestError, "'propose' request for 'b#0a1b2c3d', a proposer"),
    ],
)
def test_an_invalid_call_is_rejected_with_the_reason(call, error, message, tmp_path):
    service = lease_service_at_fixed_clock("a", tmp_path)
    with pytest.raises(error) as rejection:
        service.handle_call(*call)
    assert str(rejection.value).startswith(message)
    assert service.acceptor_host.acceptor.states == {}


def test_a_process_that_is_not_an_acceptor_rejects_lease_requests(tmp_path):
    service = lease_service_at_fixed_clock("d", tmp_path)
    with pytest.raises(NotAnAcceptorError, match="this process is not an acceptor"):
        service.handle_call("b", "propose", PROPOSE_B)


def test_a_process_requires_an_address_of_its_own(tmp_path):
    with pytest.raises(ConfigError, match="LB_FLEET: peers: no address for 'z', this balancer; add it there"):
        lease_service_at_fixed_clock("z", tmp_path)


def test_an_acceptor_requires_a_state_directory(tmp_path):
    with pytest.raises(ConfigError, match="is not a directory; an acceptor needs one"):
        lease_service_at_fixed_clock("a", tmp_path / "missing")
