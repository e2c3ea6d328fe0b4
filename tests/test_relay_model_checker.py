"""Tests of the model checker of relays: the invariants hold, and it detects faulty stores and fan-outs.

A checker that overlooks a fault, or that never reaches one of the outcomes of an update, would say nothing
about the relays.
"""

from collections import Counter

import pytest

from lotusroute.fault_injection import relay_model_checker
from lotusroute.fault_injection.invariants import InvariantViolationError
from lotusroute.relay import fanout
from lotusroute.relay.versioned_store import Delta, Snapshot, UpdateOutcome, VersionedStore

WALKS = 300


def run_walks():
    return sum((relay_model_checker.walk(seed) for seed in range(WALKS)), start=Counter())


def test_invariants_hold_and_all_update_outcomes_occur():
    """Each outcome must occur more than 10 times in all walks, so that the walks test each of them."""
    outcomes = run_walks()
    assert min(outcomes[outcome] for outcome in UpdateOutcome) > 10


class AppliesStaleUpdates(VersionedStore):
    """Reverts to an older version when it receives an older update."""

    def apply(self, update):
        if update.version >= self.version:
            return super().apply(update)
        if isinstance(update, Snapshot):
            self.items = dict(update.items)
        self.version = update.version
        self.digest = update.digest
        return UpdateOutcome.APPLIED


class IgnoresDigest(VersionedStore):
    """Applies updates whose digest does not match, that is, corrupt ones."""

    def apply(self, update):
        self.digest_after = lambda changes: update.digest
        try:
            return super().apply(update)
        finally:
            del self.digest_after


class IgnoresBaseVersion(IgnoresDigest):
    """Applies deltas whose base version is not its own version."""

    def apply(self, update):
        if isinstance(update, Delta):
            update = update._replace(base_version=self.version)
        return super().apply(update)


class IgnoresFencingToken(VersionedStore):
    """Lets a deposed origin publish."""

    def publish(self, fencing_token, changes):
        return super().publish(max(fencing_token, self.version.fencing_token), changes)


@pytest.mark.parametrize(
    "store", [AppliesStaleUpdates, IgnoresDigest, IgnoresBaseVersion, IgnoresFencingToken]
)
def test_the_model_checker_detects_a_faulty_store(store, monkeypatch):
    monkeypatch.setattr(relay_model_checker, "VersionedStore", store)
    with pytest.raises(InvariantViolationError):
        run_walks()


def test_the_model_checker_detects_that_lost_messages_are_not_retransmitted(monkeypatch):
    """Without the timeout, a subscriber whose message was lost stays busy and is sent nothing more."""
    monkeypatch.setattr(fanout, "ACKNOWLEDGEMENT_TIMEOUT_MS", 1e12)
    with pytest.raises(InvariantViolationError):
        run_walks()
