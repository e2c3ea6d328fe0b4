"""Two of the drawn days, half a minute each; many more are played by hand, see `drawn_drains`."""

import pytest
from drawn_drains import play_day


@pytest.mark.parametrize("seed", [14, 15])
def test_no_flow_reaches_a_draining_server_too_late_on_a_drawn_day(seed):
    assert play_day(seed) == []
