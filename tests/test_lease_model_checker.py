"""The model checker of the lease protocol.

The model checker also runs on variants of the protocol that are broken on purpose, and has to detect them.
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
    assert random_walks(600) > 600


def test_random_walks_find_no_violation_with_three_proposers():
    assert random_walks(300, proposers=3) > 300


def test_a_breadth_first_search_finds_no_violation():
    model = LeaseModel(crashes=0, duplicates=0)
    assert lease_model_checker.search(model, 20_000).states == 20_000


def count_lease_from_reply(monkeypatch):
    on_majority = Proposer._on_majority

    def start_now(self, task, state, now):
        return on_majority(self, task, state._replace(phase_started_at=now), now)

    monkeypatch.setattr(Proposer, "_on_majority", start_now)


def serve_right_after_restart(monkeypatch):
    init = Acceptor.__init__

    def init_serving(self, terms, now, ballot_floor):
        init(self, terms, now, ballot_floor)
        self.serving_from = now

    monkeypatch.setattr(Acceptor, "__init__", init_serving)


def forget_promised_ballot(monkeypatch):
    apply_request = acceptor_module.apply_request

    def apply_without_promise(state, now, request, terms):
        return apply_request(state._replace(promised_ballot=0), now, request, terms)

    monkeypatch.setattr(acceptor_module, "apply_request", apply_without_promise)


def lose_persisted_ballot(monkeypatch):
    init = Acceptor.__init__

    def init_without_floor(self, terms, now, ballot_floor):
        init(self, terms, now, 0)

    monkeypatch.setattr(Acceptor, "__init__", init_without_floor)


def accept_half_as_majority(monkeypatch):
    monkeypatch.setattr(LeaseTerms, "majority", property(lambda terms: len(terms.acceptors) // 2))


def change_nothing(monkeypatch):
    pass


@pytest.mark.parametrize(
    ("mutate", "options"),
    [
        pytest.param(count_lease_from_reply, {}, id="lease counted from the reply"),
        pytest.param(serve_right_after_restart, {}, id="leases granted right after a restart"),
        pytest.param(forget_promised_ballot, {}, id="lower ballot accepted"),
        pytest.param(lose_persisted_ballot, {"crashes": 3}, id="ballots not persisted"),
        pytest.param(accept_half_as_majority, {}, id="half of the acceptors as majority"),
        pytest.param(change_nothing, {"known_drift": 0.0}, id="no allowance for clock drift"),
    ],
)
def test_the_model_checker_detects_a_broken_protocol(mutate, options, monkeypatch):
    mutate(monkeypatch)
    with pytest.raises(InvariantViolationError):
        random_walks(4_000, **options)


def test_the_model_checker_prints_the_number_of_states_that_it_visited(capsys):
    assert lease_model_checker.main(["--walks", "20", "--search", "200"]) == 0
    assert "search: 200 states" in capsys.readouterr().out


def test_the_model_checker_rejects_a_command_line_without_walks_or_search(capsys):
    with pytest.raises(SystemExit) as exit_info:
        lease_model_checker.main([])
    assert exit_info.value.code == 2
    assert "give --walks N" in capsys.readouterr().err


def test_the_model_checker_accepts_the_older_names_of_its_options():
    parser = lease_model_checker.create_parser()
    older = parser.parse_args(["--walks", "1", "--askers", "3", "--keepers", "5"])
    assert older == parser.parse_args(["--walks", "1", "--proposers", "3", "--acceptors", "5"])
    assert (older.proposers, older.acceptors) == (3, 5)
    assert "--askers" not in parser.format_help()
