"""Explain where a request or an item would go now, without sending it."""

import dataclasses

from . import placer as placers
from ..registry import choice
from ..registry import endpoint as endpoints
from . import snapshot as snapshots
from . import spill

__all__ = ['Explanation', 'Row', 'explain_call', 'explain_item']

NO_PRICE = 'load-and-pace'


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """An endpoint, whether it may take the work, and what it would cost."""

    endpoint: str
    zone: str
    condition: str
    total_ms: float
    parts_ms: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """What would happen to the work: sent, waits or refused."""

    outcome: str
    reason: str
    endpoint: str | None
    wait_ms: float | None
    rows: list[Row]


def explain_call(
    snapshot: snapshots.Snapshot, work: placers.CallWork
) -> Explanation:
    """Return where a request would go, apart from probes and scouts."""
    placer = snapshots.restore(snapshot)
    states = _find_states(snapshot, work.service)
    candidates = placer.weigh_call(states, (), work, snapshot.now)
    rows = _make_rows(snapshot, states, candidates, has_slots=False)
    if not states:
        return Explanation('refused', 'no-endpoint', None, None, rows)
    if not placer.is_enabled or not candidates:
        state = choice.choose_for_call(
            states, (), snapshot.own_zone, snapshot.now
        )
        reason = NO_PRICE if candidates else 'all-back-off'
        return Explanation('sent', reason, state.endpoint.id, None, rows)
    decision = spill.decide(candidates, placer.is_away(work.service))
    return _make_sent(decision, rows)


def explain_item(
    snapshot: snapshots.Snapshot, work: placers.ItemWork
) -> Explanation:
    """Return where an item would run, or for what it would wait.

    Limits that endpoints name are left out.
    """
    placer = snapshots.restore(snapshot)
    states = _find_states(snapshot, work.service)
    fit = choice.find_for_run(
        states, (), work.model, work.min_version, snapshot.now
    )
    candidates = placer.weigh_run(fit, work, snapshot.now)
    rows = _make_rows(snapshot, states, candidates, has_slots=True)
    if not placer.is_enabled:
        state = choice.choose_for_run(
            states, (), work.model, work.min_version, snapshot.now
        )
        if state is not None:
            return Explanation('sent', NO_PRICE, state.endpoint.id, None, rows)
    else:
        placed = placer.choose_for_run(states, (), work, snapshot.now)
        if placed.decision is not None:
            return _make_sent(placed.decision, rows)
        if placed.wait_ms:
            return Explanation(
                'waits', 'own-zone', None, round(placed.wait_ms, 1), rows
            )
    return Explanation(
        'waits', 'no-free-slot' if fit else 'no-endpoint', None, None, rows
    )


def _find_states(
    snapshot: snapshots.Snapshot, service: str
) -> list[endpoints.EndpointState]:
    return [
        state
        for state in snapshot.states
        if state.endpoint.service == service and not state.is_leaving
    ]


def _make_sent(decision: spill.Decision, rows: list[Row]) -> Explanation:
    endpoint_id = decision.candidate.state.endpoint.id
    return Explanation('sent', decision.reason.value, endpoint_id, None, rows)


def _make_rows(
    snapshot: snapshots.Snapshot,
    states: list[endpoints.EndpointState],
    candidates: list[spill.Candidate],
    has_slots: bool,
) -> list[Row]:
    """Return the candidates in order of their cost, then the others."""
    rows = []
    for item in sorted(candidates, key=spill.rank):
        is_full = has_slots and choice.get_free_slots(item.state) <= 0
        parts_ms = {
            name.removesuffix('_ms'): round(value, 1)
            for name, value in dataclasses.asdict(item.cost).items()
        }
        rows.append(
            Row(
                item.state.endpoint.id,
                item.state.endpoint.availability_zone,
                'full' if is_full else 'open',
                round(item.cost.total_ms, 1),
                parts_ms,
            )
        )
    listed = {row.endpoint for row in rows}
    for state in states:
        if state.endpoint.id not in listed:
            backs_off = state.is_backing_off(snapshot.now)
            condition = 'backs off' if backs_off else 'unfit'
            zone = state.endpoint.availability_zone
            rows.append(Row(state.endpoint.id, zone, condition, 0.0, {}))
    return rows
