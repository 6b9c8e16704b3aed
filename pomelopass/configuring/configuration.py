"""Check a full configuration and collect all its problems."""

import dataclasses
import hashlib
from typing import Any

import pydantic
from returns import result

from .. import kind
from .. import policy
from . import document
from ..kinds import placementrule
from ..kinds import pool
from ..kinds import service
from ..kinds import trainer
from ..kinds import weightversion
from . import problem
from . import validation

__all__ = ['Configuration', 'check_configuration', 'get_digest']

NAME_PATTERN = r'^[a-z0-9][a-z0-9-]{0,62}$'
FORMAT = 1


class _Name(pydantic.BaseModel):
    name: str = pydantic.Field(pattern=NAME_PATTERN)


@dataclasses.dataclass(frozen=True, slots=True)
class Configuration:
    """Objects of a valid configuration by name."""

    services: dict[str, service.Service]
    pools: dict[str, pool.Pool]
    trainers: dict[str, trainer.Trainer]
    weight_versions: dict[str, weightversion.WeightVersion]
    placement_rules: dict[str, placementrule.PlacementRule]

    def find_placement_rule(
        self, pool_name: str
    ) -> placementrule.PlacementRule | None:
        """Return the placement rule of a pool, or None."""
        for rule in self.placement_rules.values():
            if rule.pool == pool_name:
                return rule
        return None


def get_digest(text: str) -> str:
    """Return the digest under which a configuration text is stored."""
    return hashlib.sha256(text.encode()).hexdigest()


def check_configuration(
    text: str,
) -> result.Result[Configuration, list[problem.Problem]]:
    """Return the configuration, or every problem in it."""
    return document.read_document(text).bind(_check_document)


def _check_document(
    parsed: document.Document,
) -> result.Result[Configuration, list[problem.Problem]]:
    problems = _check_top_level(parsed)
    by_collection: dict[str, dict[str, Any]] = {}
    for config_kind in kind.get_all_kinds():
        objects = {}
        if isinstance(parsed.value, dict):
            objects = parsed.value.get(config_kind.collection, {})
        if not isinstance(objects, dict):
            path = config_kind.collection
            problems.append(
                _make_problem(parsed, path, 'wrong-type', 'Not an object.')
            )
            objects = {}
        by_collection[config_kind.collection] = _check_objects(
            config_kind, objects, parsed, problems
        )
    names = {
        config_kind.collection: list(
            _get_raw_objects(parsed, config_kind.collection)
        )
        for config_kind in kind.get_all_kinds()
    }
    for config_kind in kind.get_all_kinds():
        _check_references(config_kind, by_collection, names, parsed, problems)
    config = Configuration(**by_collection)
    problems.extend(_check_rules(config, parsed))
    if problems:
        problems.sort(key=lambda item: (item.line, item.path))
        return result.Failure(problems)
    return result.Success(config)


def _check_top_level(parsed: document.Document) -> list[problem.Problem]:
    if not isinstance(parsed.value, dict):
        return [_make_problem(parsed, '', 'wrong-type', 'Not an object.')]
    valid = [
        'format',
        *(config_kind.collection for config_kind in kind.get_all_kinds()),
    ]
    problems = []
    for name in parsed.value:
        if name not in valid:
            nearest = validation.find_nearest(name, valid)
            detail = 'Not a collection.'
            problems.append(
                _make_problem(parsed, name, 'unknown-field', detail, nearest)
            )
    if parsed.value.get('format') != FORMAT:
        detail = f'The format must be {FORMAT}.'
        problems.append(
            _make_problem(parsed, 'format', 'unknown-value', detail)
        )
    return problems


def _get_raw_objects(
    parsed: document.Document, collection: str
) -> dict[str, Any]:
    value = parsed.value if isinstance(parsed.value, dict) else {}
    objects = value.get(collection, {})
    return objects if isinstance(objects, dict) else {}


def _check_objects(
    config_kind: kind.Kind,
    objects: dict[str, Any],
    parsed: document.Document,
    problems: list[problem.Problem],
) -> dict[str, Any]:
    object_by_name = {}
    for name, value in objects.items():
        prefix = f'{config_kind.collection}.{name}'
        try:
            _Name(name=name)
        except pydantic.ValidationError:
            detail = 'Use a-z, 0-9 and "-", at most 63 characters.'
            problems.append(_make_problem(parsed, prefix, 'bad-name', detail))
        try:
            object_by_name[name] = config_kind.model.model_validate(value)
        except pydantic.ValidationError as error:
            object_problems = validation.make_problems(
                error, config_kind.model, parsed, prefix
            )
            problems.extend(object_problems)
    return object_by_name


def _check_references(
    config_kind: kind.Kind,
    by_collection: dict[str, dict[str, Any]],
    names: dict[str, list[str]],
    parsed: document.Document,
    problems: list[problem.Problem],
) -> None:
    for name, value in by_collection[config_kind.collection].items():
        for field, collection in config_kind.references:
            target = getattr(value, field)
            if target in names[collection]:
                continue
            nearest = validation.find_nearest(target, names[collection])
            path = f'{config_kind.collection}.{name}.{field}'
            detail = f'{target!r} is not in {collection}.'
            problems.append(
                _make_problem(parsed, path, 'unknown-name', detail, nearest)
            )


def _check_rules(
    config: Configuration, parsed: document.Document
) -> list[problem.Problem]:
    problems = []
    for name, pool_config in config.pools.items():
        if pool_config.policy not in policy.get_all_policies():
            nearest = validation.find_nearest(
                pool_config.policy, policy.get_all_policies()
            )
            path = f'pools.{name}.policy'
            detail = f'No policy is named {pool_config.policy!r}.'
            problems.append(
                _make_problem(parsed, path, 'unknown-name', detail, nearest)
            )
    for name, service_config in config.services.items():
        problems.extend(_check_service(config, name, service_config, parsed))
    problems.extend(_check_trainers(config, parsed))
    return problems


def _check_service(
    config: Configuration,
    name: str,
    service_config: service.Service,
    parsed: document.Document,
) -> list[problem.Problem]:
    target_pool = config.pools.get(service_config.pool)
    if target_pool is None:
        return []
    if target_pool.kind != service_config.kind:
        path = f'services.{name}.kind'
        detail = (
            f'The pool {service_config.pool!r} has kind {target_pool.kind!r}.'
        )
        return [
            _make_problem(parsed, path, 'wrong-kind', detail, target_pool.kind)
        ]
    if (
        service_config.kind == 'model'
        and service_config.model not in target_pool.models
    ):
        path = f'services.{name}.model'
        nearest = validation.find_nearest(
            service_config.model or '', list(target_pool.models)
        )
        detail = (
            f'The pool {service_config.pool!r} does not take '
            f'{service_config.model!r}.'
        )
        return [_make_problem(parsed, path, 'unknown-name', detail, nearest)]
    return []


def _check_trainers(
    config: Configuration, parsed: document.Document
) -> list[problem.Problem]:
    problems = []
    name_by_model: dict[str, str] = {}
    for name, trainer_config in config.trainers.items():
        path = f'trainers.{name}'
        target_pool = config.pools.get(trainer_config.pool)
        if (
            target_pool is not None
            and trainer_config.model not in target_pool.models
        ):
            nearest = validation.find_nearest(
                trainer_config.model, list(target_pool.models)
            )
            detail = (
                f'The pool {trainer_config.pool!r} does not take '
                f'{trainer_config.model!r}.'
            )
            problems.append(
                _make_problem(
                    parsed, f'{path}.model', 'unknown-name', detail, nearest
                )
            )
        first_name = name_by_model.setdefault(trainer_config.model, name)
        if first_name != name:
            detail = (
                f'The trainer {first_name!r} trains '
                f'{trainer_config.model!r} too.'
            )
            problems.append(
                _make_problem(
                    parsed, f'{path}.model', 'duplicate-model', detail
                )
            )
        weights = config.weight_versions.get(trainer_config.start_weights)
        if weights is not None and weights.model != trainer_config.model:
            detail = f'The weights are of the model {weights.model!r}.'
            problems.append(
                _make_problem(
                    parsed, f'{path}.start_weights', 'wrong-kind', detail
                )
            )
        scorer = config.services.get(trainer_config.scorer)
        if scorer is not None and scorer.kind != 'plain':
            detail = 'A scorer is a service of kind "plain".'
            problems.append(
                _make_problem(parsed, f'{path}.scorer', 'wrong-kind', detail)
            )
    return problems


def _make_problem(
    parsed: document.Document,
    path: str,
    code: str,
    detail: str,
    nearest: str | None = None,
) -> problem.Problem:
    line = parsed.get_line(path)
    return problem.Problem(path, line, code, detail, nearest)
