"""Convert validation errors of models into problems with lines."""

import difflib

import pydantic

from . import document
from . import problem

__all__ = ['find_nearest', 'make_problems']

CODE_BY_TYPE = {
    'extra_forbidden': 'unknown-field',
    'missing': 'missing-field',
    'greater_than': 'out-of-range',
    'greater_than_equal': 'out-of-range',
    'less_than': 'out-of-range',
    'less_than_equal': 'out-of-range',
    'string_too_short': 'out-of-range',
    'too_short': 'out-of-range',
    'string_pattern_mismatch': 'bad-name',
    'literal_error': 'unknown-value',
    'enum': 'unknown-value',
}


def find_nearest(name: str, valid: list[str]) -> str | None:
    """Return the valid name most similar to a name, or None.

    >>> find_nearest('slots', ['slots_per_endpoint', 'pool'])
    'slots_per_endpoint'
    """
    matches = difflib.get_close_matches(name, valid, n=1, cutoff=0.4)
    return matches[0] if matches else None


def make_problems(
    error: pydantic.ValidationError,
    model: type[pydantic.BaseModel],
    parsed: document.Document,
    prefix: str = '',
) -> list[problem.Problem]:
    """Return one problem for each validation error."""
    problems = []
    for details in error.errors():
        parts = [prefix] if prefix else []
        parts.extend(str(part) for part in details['loc'])
        path = '.'.join(parts)
        code = CODE_BY_TYPE.get(details['type'], 'wrong-type')
        nearest = None
        if code == 'unknown-field':
            fields = _find_fields(model, details['loc'][:-1])
            nearest = find_nearest(str(details['loc'][-1]), fields)
        detail = f'{details["msg"]}.'
        line = parsed.get_line(path)
        problems.append(problem.Problem(path, line, code, detail, nearest))
    return problems


def _find_fields(
    model: type[pydantic.BaseModel], loc: tuple[int | str, ...]
) -> list[str]:
    for part in loc:
        field = model.model_fields.get(str(part))
        nested_model = field.annotation if field is not None else None
        if not hasattr(nested_model, 'model_fields'):
            return []
        model = nested_model
    return list(model.model_fields)
