"""Share the slots of a pool between trainers by weight."""

import dataclasses

__all__ = ['FairnessState', 'charge', 'pick']


@dataclasses.dataclass(slots=True)
class FairnessState:
    """Work charged to each trainer, divided by its share."""

    share_by_trainer: dict[str, float]
    used_by_trainer: dict[str, float] = dataclasses.field(default_factory=dict)
    active: set[str] = dataclasses.field(default_factory=set)


def pick(state: FairnessState, ready: set[str]) -> str | None:
    """Return the ready trainer that is furthest below its share.

    A trainer that was idle starts at the minimum of the others: its unused
    share went to them and is not compensated.
    """
    if not ready:
        return None
    _align_newcomers(state, ready)
    state.active = set(ready)
    return min(sorted(ready), key=lambda name: state.used_by_trainer[name])


def charge(state: FairnessState, trainer: str, units: float) -> None:
    """Charge work to a trainer; a later call may correct the units."""
    share = max(state.share_by_trainer.get(trainer, 1.0), 1e-6)
    used = state.used_by_trainer.get(trainer, 0.0)
    state.used_by_trainer[trainer] = used + units / share


def _align_newcomers(state: FairnessState, ready: set[str]) -> None:
    used_by_active = [
        state.used_by_trainer[name]
        for name in ready & state.active
        if name in state.used_by_trainer
    ]
    floor = min(used_by_active, default=0.0)
    for name in ready - state.active:
        used = state.used_by_trainer.get(name, 0.0)
        state.used_by_trainer[name] = max(used, floor)
