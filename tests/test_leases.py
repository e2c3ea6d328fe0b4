"""Stories of the leases: the machines by themselves, all orders of what may happen, and mutants."""

import random

import pytest

from lotusroute.fault_injection import lease_model_checker
from lotusroute.leases import acceptor as acceptor_module
from lotusroute.leases import proposer as proposer_module
from lotusroute.leases.acceptor import BALLOT_BLOCK, Acceptor
from lotusroute.leases.messages import (
    LeaseAcquired,
    LeaseLost,
    LeaseReleased,
    LeaseTerms,
    Prepare,
    Propose,
    RejectReason,
    Release,
    ReleaseLease,
    ReplyReceived,
    RequestLease,
    SendRequest,
    Tick,
)
from lotusroute.leases.proposer import Proposer

TERMS = LeaseTerms(("k1", "k2", "k3"))


class Fleet:
    """Three keepers, some askers and a network that loses what `cut` says; all clocks are one."""

    def __init__(self, *proposers, terms=TERMS):
        self.now, self.terms, self.cut = 0.0, terms, set()
        self.acceptors = {}
        for name in terms.acceptors:
            acceptor = self.acceptors[name] = Acceptor(terms, -10_000.0, 0)
            acceptor.ballots_persisted(BALLOT_BLOCK)
        self.proposers = {name: Proposer(name, terms, random.Random(at)) for at, name in enumerate(proposers)}
        self.log = []

    def tell(self, name, event):
        """Give an asker an event, and all that follows from it."""
        actions = self.proposers[name].handle(self.now, event)
        for action in actions:
            if not isinstance(action, SendRequest):
                self.log.append((name, action))
        for action in actions:
            if (
                isinstance(action, SendRequest)
                and not {(name, action.acceptor), (action.acceptor, name)} & self.cut
            ):
                acceptor = self.acceptors[action.acceptor]
                reply, reserve, waiters = acceptor.handle(self.now, action.request)
                if reserve:
                    acceptor.ballots_persisted(reserve.below)
                self.tell(name, ReplyReceived(action.acceptor, reply))
                for waiting in waiters:
                    self.tell(waiting, LeaseReleased("t"))

    def wait(self, ms, *names):
        """Let time pass, in steps; those named look at their clocks."""
        until = self.now + ms
        while self.now < until:
            self.now = min(until, self.now + 100.0)
            for name in names or self.proposers:
                self.tell(name, Tick())

    def holders(self):
        return [name for name, proposer in self.proposers.items() if proposer.fencing_token("t", self.now)]


def test_one_asker_holds_and_renews_and_another_takes_over_at_once_when_it_leaves():
    fleet = Fleet("a", "b")
    fleet.tell("a", RequestLease("t"))
    fleet.tell("b", RequestLease("t"))
    assert fleet.holders() == ["a"] and fleet.log == [("a", LeaseAcquired("t", 1))]
    fleet.wait(10_000.0)
    assert fleet.holders() == ["a"] and len(fleet.log) == 1
    fleet.tell("a", ReleaseLease("t"))
    fleet.wait(200.0)  # told by the keepers; by time alone it would ask again after a lease
    fencing_token = fleet.proposers["b"].fencing_token("t", fleet.now)
    assert (
        fleet.holders() == ["b"]
        and fleet.log[-1] == ("b", LeaseAcquired("t", fencing_token))
        and fencing_token > 1
    )


def test_a_holder_that_is_cut_off_ends_before_its_keepers_let_go():
    fleet = Fleet("a", "b")
    fleet.tell("a", RequestLease("t"))
    fleet.tell("b", RequestLease("t"))
    fleet.cut = {("a", acceptor) for acceptor in fleet.acceptors}
    fleet.wait(2_800.0)
    assert fleet.holders() == ["a"]
    fleet.wait(100.0)
    assert fleet.holders() == [] and fleet.log[-1] == ("a", LeaseLost("t", "expired"))
    fleet.wait(500.0)
    assert fleet.holders() == ["b"]


def test_a_holder_that_stood_still_gives_way_and_its_act_must_not_begin_near_the_end():
    fleet = Fleet("a", "b")
    fleet.tell("a", RequestLease("t"))
    proposer = fleet.proposers["a"]
    assert (
        proposer.fencing_token("t", 0.0, max_duration=2_800.0) == 1
        and proposer.fencing_token("t", 0.0, max_duration=2_900.0) == 0
    )
    fleet.tell("b", RequestLease("t"))
    fleet.wait(1_500.0, "b")
    fleet.tell("a", Tick())
    assert fleet.log[-1] == ("a", LeaseLost("t", "stalled")) and fleet.holders() == []
    fleet.wait(200.0, "b")
    assert fleet.holders() == ["b"]


def test_one_that_is_told_to_come_back_later_than_a_stall_lasts_does_come_back():
    # Found by three processes: woken when its time had come, after 1.1 s, it took the quiet for a stall of
    # its own, rested for a lease, and so for good.
    fleet = Fleet("a", "b")
    fleet.tell("a", RequestLease("t"))
    fleet.tell("b", RequestLease("t"))
    fleet.cut = {("a", acceptor) for acceptor in fleet.acceptors}
    for _ in range(30):
        fleet.now += max(5.0, fleet.proposers["b"].next_tick_in(fleet.now))
        fleet.tell("b", Tick())
    assert fleet.holders() == ["b"]


def test_two_that_split_the_keepers_draw_apart():
    fleet = Fleet("a", "b")
    fleet.cut = {("a", "k3"), ("b", "k1")}
    fleet.tell("a", RequestLease("t"))
    fleet.tell("b", RequestLease("t"))
    fleet.cut = set()
    fleet.wait(5_000.0)
    assert len(fleet.holders()) == 1


def test_a_holder_gives_way_after_its_term_where_another_asks_and_else_goes_on():
    fleet = Fleet("a", terms=TERMS._replace(max_tenure=5_000.0))
    fleet.tell("a", RequestLease("t"))
    fleet.wait(20_000.0)
    assert len(fleet.log) == 1
    fleet.proposers["b"] = Proposer("b", fleet.terms, random.Random(9))
    fleet.tell("b", RequestLease("t"))
    fleet.wait(10_000.0)
    assert fleet.log[1] == ("a", LeaseLost("t", "tenure ended")) and fleet.log[2][0] == "b"
    assert isinstance(fleet.log[2][1], LeaseAcquired) and len(fleet.holders()) == 1


def test_a_keeper_that_restarts_is_silent_for_the_longest_lease_and_its_numbers_never_fall():
    fleet = Fleet("a")
    fleet.tell("a", RequestLease("t"))
    back = Acceptor(TERMS, 100.0, BALLOT_BLOCK)
    reply, reserve, _ = back.handle(3_000.0, Prepare("t", 5, "b", 1))
    assert (reply.accepted, reply.reason, reply.highest_ballot, reserve) == (
        False,
        RejectReason.NOT_READY,
        BALLOT_BLOCK,
        None,
    )
    assert (
        back.handle(3_200.0, Prepare("t", 5, "b", 2))[0].reason == RejectReason.BALLOT_TOO_LOW
    )  # it may have been promised before
    _, reserve, _ = back.handle(3_300.0, Prepare("t", BALLOT_BLOCK + 1, "b", 3))
    assert reserve.below > BALLOT_BLOCK + 1  # on disk first, and the asker comes again
    back.ballots_persisted(reserve.below)
    assert back.handle(3_400.0, Prepare("t", BALLOT_BLOCK + 1, "b", 4))[0].accepted


def test_all_keepers_killed_at_once_let_no_fence_fall():
    fleet = Fleet("a", "b")
    fleet.tell("a", RequestLease("t"))
    fencing_token = fleet.proposers["a"].fencing_token("t", 0.0)
    fleet.acceptors = {name: Acceptor(TERMS, fleet.now, BALLOT_BLOCK) for name in TERMS.acceptors}
    fleet.proposers = {"c": Proposer("c", TERMS, random.Random(1))}
    fleet.tell("c", RequestLease("t"))
    fleet.wait(3_000.0)
    assert fleet.holders() == []
    fleet.wait(2_000.0)
    assert fleet.proposers["c"].fencing_token("t", fleet.now) > BALLOT_BLOCK > fencing_token


def test_a_keeper_refuses_a_lower_number_a_longer_lease_and_another_while_one_holds():
    acceptor = Acceptor(TERMS, -10_000.0, 0)
    acceptor.ballots_persisted(BALLOT_BLOCK)
    assert acceptor.handle(0.0, Prepare("t", 3, "a", 1))[0].accepted
    assert acceptor.handle(0.0, Propose("t", 2, "b", 1, 3_000.0))[0].reason == RejectReason.BALLOT_TOO_LOW
    assert acceptor.handle(0.0, Propose("t", 3, "a", 2, 9_000.0))[0].reason == "long"
    assert acceptor.handle(0.0, Propose("t", 3, "a", 3, 3_000.0))[0].accepted
    held = acceptor.handle(1_000.0, Prepare("t", 4, "b", 1))[0]
    assert (held.reason, held.remaining) == (RejectReason.LEASE_HELD, 2_000.0)
    assert acceptor.handle(1_100.0, Propose("t", 3, "a", 4, 3_000.0))[0].contended
    assert acceptor.handle(1_200.0, Release("t", 3, "b", 1))[0].accepted  # not its own: nothing is let go
    assert acceptor.handle(1_300.0, Prepare("t", 4, "b", 2))[0].reason == RejectReason.LEASE_HELD
    acceptor.handle(1_400.0, Release("t", 3, "a", 5))
    assert acceptor.handle(1_500.0, Prepare("t", 4, "b", 3))[0].accepted


def test_a_liars_numbers_and_names_take_no_room_for_good():
    acceptor = Acceptor(TERMS, -10_000.0, 0)
    acceptor.ballots_persisted(BALLOT_BLOCK)
    assert not acceptor.handle(0.0, Prepare("t", 2**62, "a", 1))[0].accepted
    for at in range(acceptor_module.MAX_TASKS):
        assert acceptor.handle(0.0, Propose(f"t{at}", 7, "a", 1, 3_000.0))[0].accepted
    assert acceptor.handle(100.0, Prepare("one more", 8, "a", 2))[0].reason == "full"
    assert acceptor.handle(7_000.0, Prepare("one more", 8, "a", 3))[0].accepted
    assert len(acceptor.states) == acceptor_module.MAX_TASKS and acceptor.ballot_floor == 7


def _late_answer(proposer):
    """Three keepers say yes at once, one of them late; then one is cut off and the asker renews."""
    request = next(action.request for action in proposer.handle(0.0, RequestLease("t")))
    acceptors = {name: Acceptor(TERMS, -10_000.0, 0) for name in TERMS.acceptors}
    for acceptor in acceptors.values():
        acceptor.ballots_persisted(BALLOT_BLOCK)

    def told(now, name, request):
        return proposer.handle(now, ReplyReceived(name, acceptors[name].handle(now, request)[0]))

    told(0.0, "k1", request)
    propose = told(0.0, "k2", request)[0].request
    late = ReplyReceived("k3", acceptors["k3"].handle(0.0, propose)[0])
    told(0.0, "k1", propose)
    told(0.0, "k2", propose)
    proposer.handle(900.0, Tick())
    renewal = next(action.request for action in proposer.handle(1_500.0, Tick()))
    told(1_500.0, "k1", renewal)
    proposer.handle(1_500.0, late)  # of the first round: k3 lets go at 3 s
    return proposer.fencing_token("t", 3_500.0)


def test_an_answer_from_an_earlier_round_does_not_make_the_lease_longer(monkeypatch):
    # Found by thought when the explorer was written: both rounds have one number, the keeper lets go a lease
    # after the first. The mutant that counts it would act for half a second beside the next holder.
    assert _late_answer(Proposer("a", TERMS, random.Random(1))) == 0
    real = Proposer._on_reply
    monkeypatch.setattr(
        Proposer,
        "_on_reply",
        lambda me, acceptor, reply, now: real(
            me, acceptor, reply._replace(round=me.states[reply.task].round), now
        ),
    )
    assert _late_answer(Proposer("a", TERMS, random.Random(1))) == 1


def explore(walks, seed=1, **world):
    """Walk as often as that; raises at the first breach."""
    rng, model = random.Random(seed), lease_model_checker.LeaseModel(**world)
    return sum(lease_model_checker.random_walk(model, rng, 120) for _ in range(walks))


def test_no_order_of_messages_crashes_and_stalls_makes_two_holders():
    assert explore(600) > 600
    assert explore(300, proposers=3) > 300
    assert (
        lease_model_checker.search(lease_model_checker.LeaseModel(crashes=0, duplicates=0), 20_000)[0]
        == 20_000
    )


def _from_the_answer(patch):
    real = Proposer._on_majority
    patch.setattr(
        Proposer,
        "_on_majority",
        lambda me, task, state, now: real(me, task, state._replace(phase_started_at=now), now),
    )


def _no_silence(patch):
    def start(me, terms, now, ballot_floor):
        real(me, terms, now, ballot_floor)
        me.serving_from = now

    real = Acceptor.__init__
    patch.setattr(Acceptor, "__init__", start)


def _lower_numbers(patch):
    real = acceptor_module.apply_request
    patch.setattr(
        acceptor_module,
        "apply_request",
        lambda state, now, request, terms: real(state._replace(promised=0), now, request, terms),
    )


def _no_disk(patch):
    real = Acceptor.__init__
    patch.setattr(Acceptor, "__init__", lambda me, terms, now, ballot_floor: real(me, terms, now, 0))


def _half(patch):
    patch.setattr(LeaseTerms, "majority", property(lambda terms: len(terms.acceptors) // 2))


MUTANTS = {
    "lease counted from the answer": (_from_the_answer, {}),
    "no silence after a restart": (_no_silence, {}),
    "lower number accepted": (_lower_numbers, {}),
    "numbers not on disk": (_no_disk, {"crashes": 3}),
    "half is enough": (_half, {}),
    "no allowance for clocks": (lambda patch: None, {"known_drift": 0.0}),
}


@pytest.mark.parametrize("name", MUTANTS)
def test_the_explorer_convicts(name, monkeypatch):
    mutate, world = MUTANTS[name]
    mutate(monkeypatch)
    with pytest.raises(lease_model_checker.InvariantViolationError):
        explore(4_000, **world)


def test_the_explorers_command_says_what_it_saw_and_refuses_an_empty_call(capsys):
    assert lease_model_checker.main(["--walks", "20", "--search", "200"]) == 0
    assert "search: 200 states" in capsys.readouterr().out
    with pytest.raises(SystemExit) as ended:
        lease_model_checker.main([])
    assert ended.value.code == 2 and "give --walks N" in capsys.readouterr().err
    assert proposer_module.MAX_TASKS == 64
