"""Decide which engines to order to a weight version."""

from collections import abc
import dataclasses
import enum

from ..registry import endpoint

__all__ = ['OrderOutcome', 'Report', 'VersionOrder', 'choose_to_order']

MIN_AT_ONCE = 2
# Engines load more slowly when more than about a third load together.
SHARE_AT_ONCE = 3


class OrderOutcome(enum.Enum):
    """Say what an engine answered to an order."""

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    BUSY = 'busy'
    FENCED = 'fenced'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Hold what an engine says of its weights and orders."""

    version_by_model: dict[str, int]
    busy: bool
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order an engine to a weight version of a model."""

    model: str
    version: int
    finish_runs_first: bool
    holder: str
    fence: int
    expected_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """Name an engine, and the version that it should load."""

    state: endpoint.EndpointState
    model: str
    version: int


def choose_to_order(
    engines: abc.Iterable[endpoint.EndpointState],
    version_by_model: dict[str, int],
    assigned_by_model: dict[str, set[str]],
    loading: abc.Container[str],
) -> list[Move]:
    """Return the loads to order now, the least busy engines first.

    The others keep the batches of the last version going meanwhile. An
    engine loads one version at a time, whatever models it serves.
    """
    known = [one for one in engines if not one.endpoint.is_draining]
    limit = max(MIN_AT_ONCE, len(known) // SHARE_AT_ONCE)
    busy = [one for one in known if one.endpoint.id in loading]
    moves = []
    for one in known:
        if one.endpoint.id in loading:
            continue
        move = _find_move(one, version_by_model, assigned_by_model)
        if move is not None:
            moves.append(move)
    moves.sort(key=_get_move_order)
    return moves[: max(0, limit - len(busy))]


def _find_move(
    state: endpoint.EndpointState,
    version_by_model: dict[str, int],
    assigned_by_model: dict[str, set[str]],
) -> Move | None:
    behind = [
        Move(state, model, version)
        for model, version in version_by_model.items()
        if state.endpoint.id in assigned_by_model.get(model, ())
        and state.get_version(model) < version
    ]
    return max(behind, key=_get_lag, default=None)


def _get_lag(move: Move) -> int:
    return move.version - move.state.get_version(move.model)


def _get_move_order(move: Move) -> tuple[int, int]:
    state = move.state
    return (-_get_lag(move), state.in_flight + state.in_flight_elsewhere)
