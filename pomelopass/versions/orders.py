"""Decide which engines are ordered to load a weight version."""

from collections import abc
import dataclasses
import enum

from ..registry import endpoint

__all__ = ['OrderOutcome', 'Report', 'VersionOrder', 'plan_loads']

MIN_CONCURRENT_LOADS = 2
# Loads slow down when more than about a third of the engines load.
CONCURRENT_LOAD_DIVISOR = 3


class OrderOutcome(enum.Enum):
    """Answer of an engine to an order."""

    ACCEPTED = 'accepted'
    HOLDS = 'holds'
    BUSY = 'busy'
    FENCED = 'fenced'
    REJECTED = 'rejected'
    UNKNOWN = 'unknown'
    # Not sent: the duty was lost or not confirmed again in time.
    WITHDRAWN = 'withdrawn'


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """State of its weights and orders that an engine reports."""

    version_by_model: dict[str, int]
    busy: bool
    order_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionOrder:
    """Order to load a weight version of a model.

    The engine accepts it only if it has accepted expected_count orders.
    """

    model: str
    version: int
    finish_runs_first: bool
    holder: str
    fence: int
    expected_count: int


@dataclasses.dataclass(frozen=True, slots=True)
class VersionLoad:
    """An engine and the weight version that it should load."""

    state: endpoint.EndpointState
    model: str
    version: int


def plan_loads(
    engines: abc.Iterable[endpoint.EndpointState],
    target_version_by_model: dict[str, int],
    assigned_by_model: dict[str, set[str]],
    loading_ids: abc.Container[str],
) -> list[VersionLoad]:
    """Return the loads to order now.

    Engines furthest behind come first, then the least busy. The others keep
    serving batches of the previous version. An engine loads one version at
    a time, whatever models it serves.
    """
    accepting = [state for state in engines if not state.is_leaving]
    max_loads = max(
        MIN_CONCURRENT_LOADS, len(accepting) // CONCURRENT_LOAD_DIVISOR
    )
    loading_engines = [
        state for state in accepting if state.endpoint.id in loading_ids
    ]
    loads = []
    for state in accepting:
        if state.endpoint.id in loading_ids:
            continue
        load = _find_load(state, target_version_by_model, assigned_by_model)
        if load is not None:
            loads.append(load)
    loads.sort(key=_get_priority)
    return loads[: max(0, max_loads - len(loading_engines))]


def _find_load(
    state: endpoint.EndpointState,
    target_version_by_model: dict[str, int],
    assigned_by_model: dict[str, set[str]],
) -> VersionLoad | None:
    outdated = [
        VersionLoad(state, model, version)
        for model, version in target_version_by_model.items()
        if state.endpoint.id in assigned_by_model.get(model, ())
        and state.get_version(model) < version
    ]
    return max(outdated, key=_get_lag, default=None)


def _get_lag(load: VersionLoad) -> int:
    return load.version - load.state.get_version(load.model)


def _get_priority(load: VersionLoad) -> tuple[int, int]:
    state = load.state
    return (-_get_lag(load), state.in_flight + state.in_flight_elsewhere)
