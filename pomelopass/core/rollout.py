"""Roll out weight versions to all engines of a pool."""

import dataclasses

__all__ = ['EngineView', 'Order', 'RolloutState', 'record_report', 'plan']

ORDER_TIMEOUT_MS = 4000


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """The weights that a model should have."""

    model: str
    version: int
    object_key: str


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """Order for one engine to load a target."""

    endpoint_key: str
    address: str
    target: Target


@dataclasses.dataclass(slots=True)
class EngineView:
    """Versions that an engine last reported, and the orders sent to it."""

    address: str
    version_by_model: dict[str, int] = dataclasses.field(default_factory=dict)
    ordered_at_ms_by_model: dict[str, tuple[int, float]] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(slots=True)
class RolloutState:
    """Targets by model and engines by key."""

    max_concurrent: int
    target_by_model: dict[str, Target] = dataclasses.field(
        default_factory=dict
    )
    engine_by_key: dict[str, EngineView] = dataclasses.field(
        default_factory=dict
    )


def set_target(state: RolloutState, target: Target) -> bool:
    """Raise the target of a model; return False unless it is newer."""
    current = state.target_by_model.get(target.model)
    if current is not None and current.version >= target.version:
        return False
    state.target_by_model[target.model] = target
    return True


def set_engines(state: RolloutState, address_by_key: dict[str, str]) -> None:
    """Replace the set of engines; retain the state of present ones."""
    for key in list(state.engine_by_key):
        if key not in address_by_key:
            del state.engine_by_key[key]
    for key, address in address_by_key.items():
        state.engine_by_key.setdefault(key, EngineView(address))


def record_report(
    state: RolloutState, key: str, version_by_model: dict[str, int]
) -> None:
    """Record the versions that an engine reports as loaded."""
    engine = state.engine_by_key.get(key)
    if engine is not None:
        engine.version_by_model = version_by_model


def plan(state: RolloutState, now_ms: float) -> list[Order]:
    """Return the orders to send now; orders are idempotent.

    An engine at any version other than the target gets an order, also
    after a stale order has reverted it.
    """
    loading_count = sum(
        1
        for engine in state.engine_by_key.values()
        if _is_loading(state, engine, now_ms)
    )
    orders = []
    for key in sorted(state.engine_by_key):
        engine = state.engine_by_key[key]
        for target in state.target_by_model.values():
            if loading_count >= state.max_concurrent:
                return orders
            if not _is_due(engine, target, now_ms):
                continue
            ordered = (target.version, now_ms)
            engine.ordered_at_ms_by_model[target.model] = ordered
            orders.append(Order(key, engine.address, target))
            loading_count += 1
    return orders


def find_outdated(state: RolloutState) -> list[str]:
    """Return the keys of engines that are not at every target."""
    return [
        key
        for key, engine in state.engine_by_key.items()
        if any(
            engine.version_by_model.get(model) != target.version
            for model, target in state.target_by_model.items()
        )
    ]


def _is_due(engine: EngineView, target: Target, now_ms: float) -> bool:
    if engine.version_by_model.get(target.model) == target.version:
        return False
    version, at_ms = engine.ordered_at_ms_by_model.get(target.model, (-1, 0.0))
    if version != target.version:
        return True
    return now_ms - at_ms >= ORDER_TIMEOUT_MS


def _is_loading(
    state: RolloutState, engine: EngineView, now_ms: float
) -> bool:
    for model, target in state.target_by_model.items():
        version, at_ms = engine.ordered_at_ms_by_model.get(model, (-1, 0.0))
        if version != target.version:
            continue
        done = engine.version_by_model.get(model) == target.version
        if not done and now_ms - at_ms < ORDER_TIMEOUT_MS:
            return True
    return False
