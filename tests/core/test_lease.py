"""Test that at most one holder acts and that duties are taken over."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from pomelopass.core import lease

HOLDERS = ('a', 'b', 'c')
TAKE_OVER_MS = 10_000


class LeaseMachine(stateful.RuleBasedStateMachine):
    """Holders that read, pause, write late and lose replies."""

    def __init__(self):
        super().__init__()
        self.now_ms = 0.0
        self.row: lease.LeaseRow | None = None
        self.row_version = 0
        self.state_by_name = {name: lease.LeaseState(name) for name in HOLDERS}
        self.pending: list[tuple] = []

    @stateful.rule(ms=st.integers(1, 4000))
    def wait(self, ms):
        """Let time pass."""
        self.now_ms += ms

    @stateful.rule(name=st.sampled_from(HOLDERS), first=st.booleans())
    def look(self, name, first):
        """Read the row and plan a write that may be applied much later."""
        state = self.state_by_name[name]
        action = lease.plan(state, self.row, first, self.now_ms)
        if action == lease.Action.WAIT:
            return
        row = lease.get_next_row(state, action)
        self.pending.append((name, row, self.row_version, self.now_ms))

    @stateful.precondition(lambda self: self.pending)
    @stateful.rule(data=st.data(), answer_lost=st.booleans())
    def write(self, data, answer_lost):
        """Apply one pending write when its condition still holds."""
        index = data.draw(st.integers(0, len(self.pending) - 1))
        name, row, version, asked_ms = self.pending.pop(index)
        if version != self.row_version:
            return
        self.row = row
        self.row_version += 1
        if not answer_lost:
            state = self.state_by_name[name]
            lease.record_renewed(state, row, asked_ms)

    @stateful.invariant()
    def only_the_holder_of_the_row_acts(self):
        """Check that only the holder in the row may act."""
        acting = [
            name
            for name, state in self.state_by_name.items()
            if lease.may_act(state, self.now_ms)
        ]
        assert len(acting) <= 1
        if acting:
            assert self.row.holder == acting[0]


def test_lease_machine():
    stateful.run_state_machine_as_test(
        LeaseMachine,
        settings=hypothesis.settings(
            hypothesis.settings.default, stateful_step_count=60
        ),
    )


def test_paused_holder_may_not_act():
    state = lease.LeaseState('a')
    lease.record_renewed(state, lease.LeaseRow('a', 1, 1), 0.0)
    assert lease.may_act(state, 100.0)
    assert not lease.may_act(state, lease.TTL_MS - lease.ACT_MARGIN_MS)


def test_unrenewed_row_is_taken_over_in_time():
    state = lease.LeaseState('b')
    row = lease.LeaseRow('a', 4, 9)
    now_ms = 0.0
    while lease.plan(state, row, False, now_ms) == lease.Action.WAIT:
        now_ms += 700.0
    assert now_ms <= TAKE_OVER_MS
    assert lease.get_next_row(state, lease.Action.ACQUIRE).fence == 5


def test_first_choice_acquires_a_released_row_immediately():
    state = lease.LeaseState('b')
    row = lease.LeaseRow('', 4, 9)
    assert lease.plan(state, row, True, 0.0) == lease.Action.ACQUIRE
