"""Share the engines of a service among its models."""

import collections
from collections import abc
import dataclasses

from ..registry import endpoint

__all__ = ['Demand', 'Load', 'assign_engines', 'get_quotas']


@dataclasses.dataclass(frozen=True, slots=True)
class Demand:
    """Hold what recent jobs ask of a model.

    The lag is how many versions a sample may be behind the named one.
    """

    tokens: float
    allowed_lag: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Name a load of weights that an engine has been ordered to do."""

    endpoint_id: str
    model: str
    version: int


def get_quotas(
    engine_count: int, tokens_by_model: dict[str, float]
) -> dict[str, int]:
    """Return how many engines load each model's versions, by its demand.

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
    wanted = {
        model: engine_count * tokens_by_model[model] / total
        for model in models
    }
    quotas = {model: max(1, int(wanted[model])) for model in models}
    while sum(quotas.values()) > engine_count:
        quotas[max(quotas, key=quotas.__getitem__)] -= 1
    while sum(quotas.values()) < engine_count:
        lacking = max(models, key=lambda one: wanted[one] - quotas[one])
        quotas[lacking] += 1
    return quotas


def assign_engines(
    engines: abc.Iterable[endpoint.EndpointState],
    version_by_model: dict[str, int],
    demand_by_model: dict[str, Demand],
    loads: abc.Collection[Load] = (),
) -> dict[str, set[str]]:
    """Return the ids of the engines that are to hold each named version.

    Answers trainers that share engines and name versions often. Engines
    whose weights the next batch can't use load first, so that those of the
    last version serve meanwhile and about twice the quota serves a model.
    """
    served = [one for one in engines if not one.endpoint.is_draining]
    held_models = {name for one in served for name in one.version_by_model}
    models = sorted(held_models & version_by_model.keys())
    demand = {
        model: demand_by_model.get(model, Demand(0.0)) for model in models
    }
    tokens = {model: one.tokens for model, one in demand.items()}
    if not any(tokens.values()):
        tokens = dict.fromkeys(models, 1.0)
    quotas = get_quotas(len(served), tokens)
    lags = {
        model: _get_lags(served, model, version_by_model[model], loads)
        for model in models
    }
    idle = {
        one.endpoint.id
        for one in served
        if one.in_flight + one.in_flight_elsewhere == 0
    }
    held = _count_newest(lags)
    assigned: dict[str, set[str]] = {}
    for model in models:
        chosen = _choose_holders(
            lags[model], quotas[model], demand[model].allowed_lag, idle, held
        )
        held.update(one for one in chosen if lags[model][one] > 0)
        assigned[model] = set(chosen)
    return assigned


def _count_newest(
    lags: dict[str, dict[str, int]],
) -> collections.Counter[str]:
    # Engines that hold the newest weights of few models come first.
    return collections.Counter(
        endpoint_id
        for lag_by_id in lags.values()
        for endpoint_id, lag in lag_by_id.items()
        if lag <= 0
    )


def _get_lags(
    served: list[endpoint.EndpointState],
    model: str,
    named: int,
    loads: abc.Collection[Load],
) -> dict[str, int]:
    loading = {
        one.endpoint_id: one.version for one in loads if one.model == model
    }
    return {
        one.endpoint.id: named
        - max(one.get_version(model), loading.get(one.endpoint.id, 0))
        for one in served
        if model in one.endpoint.version_by_model
    }


def _choose_holders(
    lag_by_id: dict[str, int],
    quota: int,
    allowed_lag: int,
    idle: set[str],
    held: collections.Counter[str],
) -> list[str]:
    chosen = sorted(one for one, lag in lag_by_id.items() if lag <= 0)
    behind = sorted(
        (one for one, lag in lag_by_id.items() if lag > 0),
        key=lambda one: (held[one], -lag_by_id[one], one),
    )
    unusable = [one for one in behind if lag_by_id[one] > allowed_lag]
    usable = [one for one in behind if lag_by_id[one] <= allowed_lag]
    # Half of what serves gets the newest weights even if it is never idle.
    least = (len(chosen) + len(usable) + 1) // 2
    chosen.extend(unusable)
    usable.sort(key=lambda one: one not in idle)
    for one in usable:
        if one in idle or len(chosen) < least:
            chosen.append(one)
    return chosen[:quota]
