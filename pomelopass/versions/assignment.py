"""Assign the engines of a service to its models."""

import collections
from collections import abc
import dataclasses

from ..registry import endpoint

__all__ = ['Demand', 'PendingLoad', 'assign_engines', 'get_quotas']


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Demand of recent jobs for a model.

    allowed_lag is how many versions a sample may be behind the target.
    """

    tokens: float
    allowed_lag: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PendingLoad:
    """A load of weights that an engine was ordered to perform."""

    endpoint_id: str
    model: str
    version: int


def get_quotas(
    engine_count: int, tokens_by_model: dict[str, float]
) -> dict[str, int]:
    """Return the number of engines for each model, by its share of tokens.

    >>> get_quotas(5, {'a': 900, 'b': 600})
    {'a': 3, 'b': 2}
    >>> get_quotas(4, {'a': 1})
    {'a': 4}
    >>> get_quotas(4, {})
    {}
    >>> get_quotas(1, {'a': 1, 'b': 1})
    {'a': 1, 'b': 1}
    """
    models = sorted(tokens_by_model)
    if not models:
        return {}
    if engine_count < len(models):
        return dict.fromkeys(models, engine_count)
    total = sum(tokens_by_model.values()) or 1.0
    share_by_model = {
        model: engine_count * tokens_by_model[model] / total
        for model in models
    }
    quota_by_model = {
        model: max(1, int(share_by_model[model])) for model in models
    }
    while sum(quota_by_model.values()) > engine_count:
        quota_by_model[
            max(quota_by_model, key=quota_by_model.__getitem__)
        ] -= 1
    while sum(quota_by_model.values()) < engine_count:
        next_model = max(
            models,
            key=lambda model: share_by_model[model] - quota_by_model[model],
        )
        quota_by_model[next_model] += 1
    return quota_by_model


def assign_engines(
    engines: abc.Iterable[endpoint.EndpointState],
    target_version_by_model: dict[str, int],
    demand_by_model: dict[str, Demand],
    loads: abc.Collection[PendingLoad] = (),
) -> dict[str, set[str]]:
    """Return the ids of the engines that should hold each target version.

    Trainers share engines and publish versions often. Engines whose
    weights the next batch can't use load first, so that those with the
    previous version keep serving and about twice the quota serves a model.
    """
    accepting = [state for state in engines if not state.is_leaving]
    loaded_models = {
        model for state in accepting for model in state.version_by_model
    }
    models = sorted(loaded_models & target_version_by_model.keys())
    effective_demand = {
        model: demand_by_model.get(model, Demand(0.0)) for model in models
    }
    tokens_by_model = {
        model: model_demand.tokens
        for model, model_demand in effective_demand.items()
    }
    if not any(tokens_by_model.values()):
        tokens_by_model = dict.fromkeys(models, 1.0)
    quota_by_model = get_quotas(len(accepting), tokens_by_model)
    lags_by_model = {
        model: _get_lag_by_id(
            accepting, model, target_version_by_model[model], loads
        )
        for model in models
    }
    idle_ids = {
        state.endpoint.id
        for state in accepting
        if state.in_flight + state.in_flight_elsewhere == 0
    }
    newest_count_by_id = _count_newest_by_id(lags_by_model)
    assigned_by_model: dict[str, set[str]] = {}
    for model in models:
        chosen_ids = _choose_engines(
            lags_by_model[model],
            quota_by_model[model],
            effective_demand[model].allowed_lag,
            idle_ids,
            newest_count_by_id,
        )
        newest_count_by_id.update(
            endpoint_id
            for endpoint_id in chosen_ids
            if lags_by_model[model][endpoint_id] > 0
        )
        assigned_by_model[model] = set(chosen_ids)
    return assigned_by_model


def _count_newest_by_id(
    lags_by_model: dict[str, dict[str, int]],
) -> collections.Counter[str]:
    # Engines that hold the newest weights of few models are preferred.
    return collections.Counter(
        endpoint_id
        for lag_by_id in lags_by_model.values()
        for endpoint_id, lag in lag_by_id.items()
        if lag <= 0
    )


def _get_lag_by_id(
    accepting: list[endpoint.EndpointState],
    model: str,
    target_version: int,
    loads: abc.Collection[PendingLoad],
) -> dict[str, int]:
    pending_version_by_id = {
        load.endpoint_id: load.version for load in loads if load.model == model
    }
    return {
        state.endpoint.id: target_version
        - max(
            state.get_version(model),
            pending_version_by_id.get(state.endpoint.id, 0),
        )
        for state in accepting
        if model in state.endpoint.version_by_model
    }


def _choose_engines(
    lag_by_id: dict[str, int],
    quota: int,
    allowed_lag: int,
    idle_ids: set[str],
    newest_count_by_id: collections.Counter[str],
) -> list[str]:
    chosen_ids = sorted(
        endpoint_id for endpoint_id, lag in lag_by_id.items() if lag <= 0
    )
    outdated_ids = sorted(
        (endpoint_id for endpoint_id, lag in lag_by_id.items() if lag > 0),
        key=lambda endpoint_id: (
            newest_count_by_id[endpoint_id],
            -lag_by_id[endpoint_id],
            endpoint_id,
        ),
    )
    unusable_ids = [
        endpoint_id
        for endpoint_id in outdated_ids
        if lag_by_id[endpoint_id] > allowed_lag
    ]
    usable_ids = [
        endpoint_id
        for endpoint_id in outdated_ids
        if lag_by_id[endpoint_id] <= allowed_lag
    ]
    # Half of the serving engines load the newest weights even if never idle.
    min_count = (len(chosen_ids) + len(usable_ids) + 1) // 2
    chosen_ids.extend(unusable_ids)
    usable_ids.sort(key=lambda endpoint_id: endpoint_id not in idle_ids)
    for endpoint_id in usable_ids:
        if endpoint_id in idle_ids or len(chosen_ids) < min_count:
            chosen_ids.append(endpoint_id)
    return chosen_ids[:quota]
