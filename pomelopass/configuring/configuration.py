"""Check a full configuration as a whole."""

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
    """Hold the objects of an accepted configuration by name."""

    services: dict[str, service.Service]
    pools: dict[str, pool.Pool]
    trainers: dict[str, trainer.Trainer]
    weight_versions: dict[str, weightversion.WeightVersion]
    placement_rules: dict[str, placementrule.PlacementRule]

    def find_placement_rule(
        self, pool_name: str
    ) -> placementrule.PlacementRule | None:
        """Return the placement rule of a pool, or None."""
        for one in self.placement_rules.values():
            if one.pool == pool_name:
                return one
        return None


def get_digest(text: str) -> str:
    """Return the name under which a configuration text is kept."""
    return hashlib.sha256(text.encode()).hexdigest()


def check_configuration(
    text: str,
) -> result.Result[Configuration, list[problem.Problem]]:
    """Return the configuration, or every problem in it at once."""
    return document.read_document(text).bind(_check_document)


def _check_document(
    read: document.Document,
) -> result.Result[Configuration, list[problem.Problem]]:
    problems = _check_top(read)
    by_collection: dict[str, dict[str, Any]] = {}
    for one in kind.get_all_kinds():
        objects = {}
        if isinstance(read.value, dict):
            objects = read.value.get(one.collection, {})
        if not isinstance(objects, dict):
            path = one.collection
            problems.append(_make(read, path, 'wrong-type', 'Not an object.'))
            objects = {}
        by_collection[one.collection] = _check_objects(
            one, objects, read, problems
        )
    names = {
        one.collection: list(_get_raw(read, one.collection))
        for one in kind.get_all_kinds()
    }
    for one in kind.get_all_kinds():
        _check_references(one, by_collection, names, read, problems)
    built = Configuration(**by_collection)
    problems.extend(_check_rules(built, read))
    if problems:
        problems.sort(key=lambda entry: (entry.line, entry.path))
        return result.Failure(problems)
    return result.Success(built)


def _check_top(read: document.Document) -> list[problem.Problem]:
    if not isinstance(read.value, dict):
        return [_make(read, '', 'wrong-type', 'Not an object.')]
    valid = ['format', *(one.collection for one in kind.get_all_kinds())]
    problems = []
    for name in read.value:
        if name not in valid:
            near = validation.find_nearest(name, valid)
            detail = 'Not a collection.'
            problems.append(_make(read, name, 'unknown-field', detail, near))
    if read.value.get('format') != FORMAT:
        detail = f'The format must be {FORMAT}.'
        problems.append(_make(read, 'format', 'unknown-value', detail))
    return problems


def _get_raw(read: document.Document, collection: str) -> dict[str, Any]:
    value = read.value if isinstance(read.value, dict) else {}
    objects = value.get(collection, {})
    return objects if isinstance(objects, dict) else {}


def _check_objects(
    one: kind.Kind,
    objects: dict[str, Any],
    read: document.Document,
    problems: list[problem.Problem],
) -> dict[str, Any]:
    built = {}
    for name, value in objects.items():
        prefix = f'{one.collection}.{name}'
        try:
            _Name(name=name)
        except pydantic.ValidationError:
            detail = 'Use a-z, 0-9 and "-", at most 63 characters.'
            problems.append(_make(read, prefix, 'bad-name', detail))
        try:
            built[name] = one.model.model_validate(value)
        except pydantic.ValidationError as error:
            found = validation.make_problems(error, one.model, read, prefix)
            problems.extend(found)
    return built


def _check_references(
    one: kind.Kind,
    by_collection: dict[str, dict[str, Any]],
    names: dict[str, list[str]],
    read: document.Document,
    problems: list[problem.Problem],
) -> None:
    for name, value in by_collection[one.collection].items():
        for field, collection in one.references:
            target = getattr(value, field)
            if target in names[collection]:
                continue
            near = validation.find_nearest(target, names[collection])
            path = f'{one.collection}.{name}.{field}'
            detail = f'{target!r} is not in {collection}.'
            problems.append(_make(read, path, 'unknown-name', detail, near))


def _check_rules(
    built: Configuration, read: document.Document
) -> list[problem.Problem]:
    problems = []
    for name, one in built.pools.items():
        if one.policy not in policy.get_all_policies():
            near = validation.find_nearest(
                one.policy, policy.get_all_policies()
            )
            path = f'pools.{name}.policy'
            detail = f'No policy is named {one.policy!r}.'
            problems.append(_make(read, path, 'unknown-name', detail, near))
    for name, one in built.services.items():
        problems.extend(_check_service(built, name, one, read))
    problems.extend(_check_trainers(built, read))
    return problems


def _check_service(
    built: Configuration,
    name: str,
    one: service.Service,
    read: document.Document,
) -> list[problem.Problem]:
    target = built.pools.get(one.pool)
    if target is None:
        return []
    if target.kind != one.kind:
        path = f'services.{name}.kind'
        detail = f'The pool {one.pool!r} has kind {target.kind!r}.'
        return [_make(read, path, 'wrong-kind', detail, target.kind)]
    if one.kind == 'model' and one.model not in target.models:
        path = f'services.{name}.model'
        near = validation.find_nearest(one.model or '', list(target.models))
        detail = f'The pool {one.pool!r} does not take {one.model!r}.'
        return [_make(read, path, 'unknown-name', detail, near)]
    return []


def _check_trainers(
    built: Configuration, read: document.Document
) -> list[problem.Problem]:
    problems = []
    name_by_model: dict[str, str] = {}
    for name, one in built.trainers.items():
        path = f'trainers.{name}'
        target = built.pools.get(one.pool)
        if target is not None and one.model not in target.models:
            near = validation.find_nearest(one.model, list(target.models))
            detail = f'The pool {one.pool!r} does not take {one.model!r}.'
            problems.append(
                _make(read, f'{path}.model', 'unknown-name', detail, near)
            )
        other = name_by_model.setdefault(one.model, name)
        if other != name:
            detail = f'The trainer {other!r} trains {one.model!r} too.'
            problems.append(
                _make(read, f'{path}.model', 'duplicate-model', detail)
            )
        weights = built.weight_versions.get(one.start_weights)
        if weights is not None and weights.model != one.model:
            detail = f'The weights are of the model {weights.model!r}.'
            problems.append(
                _make(read, f'{path}.start_weights', 'wrong-kind', detail)
            )
        scorer = built.services.get(one.scorer)
        if scorer is not None and scorer.kind != 'plain':
            detail = 'A scorer is a service of kind "plain".'
            problems.append(
                _make(read, f'{path}.scorer', 'wrong-kind', detail)
            )
    return problems


def _make(
    read: document.Document,
    path: str,
    code: str,
    detail: str,
    near: str | None = None,
) -> problem.Problem:
    line = read.get_line(path)
    return problem.Problem(path, line, code, detail, near)
