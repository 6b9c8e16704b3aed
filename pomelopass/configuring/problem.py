"""Describe one thing that is wrong in a document of an operator."""

import dataclasses

__all__ = ['Problem', 'format_problem']


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Hold the place, the stable code and the nearest valid name."""

    path: str
    line: int
    code: str
    detail: str
    nearest: str | None = None


def format_problem(one: Problem) -> str:
    """Return the problem as one line of text.

    >>> format_problem(Problem('a.b', 3, 'unknown-field', 'Not a field.'))
    'line 3: a.b: unknown-field: Not a field.'
    """
    text = f'line {one.line}: {one.path}: {one.code}: {one.detail}'
    if one.nearest is not None:
        text += f' Nearest valid name: {one.nearest}.'
    return text
