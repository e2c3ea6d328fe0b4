"""Tests of the model checker of the lease protocol.

It must find no violation in the protocol, and one in each variant of the protocol that is broken on purpose:
a checker that overlooks a broken protocol would say nothing about the real one.
"""

import random

import pytest

from lotusroute.fault_injection import lease_model_checker
from lotusroute.fault_injection.invariants import InvariantViolationError
from lotusroute.fault_injection.lease_model import LeaseModel
from lotusroute.leases import acceptor as acceptor_module
from lotusroute.leases.acceptor import Acceptor
from lotusroute.leases.messages import LeaseTerms
from lotusroute.leases.proposer import Proposer


def random_walks(walks, seed=1, **options):
    """Take random walks through the model and return the number of changes of holder."""
    rng = random.Random(seed)
    model = LeaseModel(**options)
    return sum(lease_model_checker.random_walk(model, rng, 120) for _ in range(walks))


def test_random_walks_find_no_violation_with_two_proposers():
    # On average, the lease must change its holder more than once in a walk; otherwise the walks test little.
    assert random_walks(600) > 600


def test_random_walks_find_no_violation_with_three_proposers():
    # On average, the lease must change its holder more than once in a walk; otherwise the walks test little.
    assert random_walks(300, proposers=3) > 300


def test_a_breadth_first_search_finds_no_violation():
    model = LeaseModel(crashes=0, duplicates=0)
    assert lease_model_checker.search(model, 20_000).states == 20_000


def count_lease_from_reply(monkeypatch):
    """The holder counts its lease from the reply that completes the majority, not from its own proposal."""
    on_majority = Proposer._on_majority

    def start_now(self, task, state, now):
        return on_majority(self, task, state._replace(phase_started_at=now), now)

    monkeypatch.setattr(Proposer, "_on_majority", start_now)


def serve_right_after_restart(monkeypatch):
    """A restarted acceptor serves at once, though it has forgotten the leases that it granted."""
    init = Acceptor.__init__

    def init_serving(self, terms, now, ballot_floor):
        init(self, terms, now, ballot_floor)
        self.serving_from = now

    monkeypatch.setattr(Acceptor, "__init__", init_serving)


def forget_promised_ballot(monkeypatch):
    """An acceptor accepts ballots that are lower than the one that it promised."""
    apply_request = acceptor_module.apply_request

    def apply_without_promise(state, now, request, terms):
        return apply_request(state._replace(promised_ballot=0), now, request, terms)

    monkeypatch.setattr(acceptor_module, "apply_request", apply_without_promise)


def lose_persisted_ballot(monkeypatch):
    """An acceptor restarts without the ballot that it persisted."""
    init = Acceptor.__init__

    def init_without_floor(self, terms, now, ballot_floor):
        init(self, terms, now, 0)

    monkeypatch.setattr(Acceptor, "__init__", init_without_floor)


def accept_half_as_majority(monkeypatch):
    """Half of the acceptors, rounded down, are enough for a majority."""
    monkeypatch.setattr(LeaseTerms, "majority", property(lambda terms: len(terms.acceptors) // 2))


def change_nothing(monkeypatch):
    """The protocol is unchanged; only the options of the model differ."""


@pytest.mark.parametrize(
    ("mutate", "options"),
    [
        pytest.param(count_lease_from_reply, {}, id="lease counted from the reply"),
        pytest.param(serve_right_after_restart, {}, id="leases granted right after a restart"),
        pytest.param(forget_promised_ballot, {}, id="lower ballot accepted"),
        pytest.param(lose_persisted_ballot, {"crashes": 3}, id="ballots not persisted"),
        pytest.param(accept_half_as_majority, {}, id="half of the acceptors as majority"),
        pytest.param(change_nothing, {"assumed_drift": 0.0}, id="no allowance for clock drift"),
    ],
)
def test_the_model_checker_detects_a_broken_protocol(mutate, options, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(InvariantViolationError):
        random_walks(4_000, **options)


def test_the_model_checker_prints_the_number_of_visited_states(capsys):
    assert lease_model_checker.main(["--walks", "20", "--search", "200"]) == 0
    assert "search: 200 states" in capsys.readouterr().out


def test_the_model_checker_requires_walks_or_a_search(capsys):
    with pytest.raises(SystemExit) as exit_info:
        lease_model_checker.main([])
    assert exit_info.value.code == 2
    assert "give --walks N" in capsys.readouterr().err


def test_the_model_checker_accepts_the_legacy_names_of_its_options():
    parser = lease_model_checker.create_parser()
    legacy = parser.parse_args(["--walks", "1", "--askers", "3", "--keepers", "5"])
    assert legacy == parser.parse_args(["--walks", "1", "--proposers", "3", "--acceptors", "5"])
    assert (legacy.proposers, legacy.acceptors) == (3, 5)
    assert "--askers" not in parser.format_help()
