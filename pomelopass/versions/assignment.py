"""Share the engines of a service among its models."""

from collections import abc

from ..registry import endpoint

__all__ = ['assign_engines', 'get_quotas']


def get_quotas(
    engine_count: int, demand_by_model: dict[str, float]
) -> dict[str, int]:
    """Return how many engines each model gets, by its demand.

    >>> get_quotas(5, {'a': 900, 'b': 600})
    {'a': 3, 'b': 2}
    >>> get_quotas(4, {'a': 1})
    {'a': 4}
    >>> get_quotas(4, {})
    {}
    >>> get_quotas(1, {'a': 1, 'b': 1})
    {'a': 1, 'b': 1}
    """
    models = sorted(demand_by_model)
    if not models:
        return {}
    if engine_count < len(models):
        return dict.fromkeys(models, engine_count)
    total = sum(demand_by_model.values()) or 1.0
    wanted = {
        model: engine_count * demand_by_model[model] / total
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
    demand_by_model: dict[str, float],
) -> dict[str, set[str]]:
    """Return the ids of the engines that follow each model's versions.

    Weights that change often would else be loaded by every engine for
    every model. An engine stays with the model that it is nearest to.
    """
    served = [one for one in engines if not one.endpoint.is_draining]
    models = {
        model
        for one in served
        for model in one.endpoint.version_by_model
        if model in version_by_model
    }
    demand = {model: demand_by_model.get(model, 0.0) for model in models}
    if not any(demand.values()):
        demand = dict.fromkeys(models, 1.0)
    quotas = get_quotas(len(served), demand)
    assigned: dict[str, set[str]] = {model: set() for model in models}
    pairs = sorted(
        (
            version_by_model[model] - one.get_version(model),
            one.endpoint.id,
            model,
        )
        for one in served
        for model in one.endpoint.version_by_model
        if model in models
    )
    shares_all = len(served) < len(models)
    taken: set[str] = set()
    for _, endpoint_id, model in pairs:
        full = len(assigned[model]) >= quotas[model]
        if full or (endpoint_id in taken and not shares_all):
            continue
        assigned[model].add(endpoint_id)
        taken.add(endpoint_id)
    return assigned
