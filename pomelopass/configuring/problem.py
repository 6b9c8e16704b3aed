"""Describe one problem in a document of an operator."""

import dataclasses

__all__ = ['Problem', 'format_problem']


@dataclasses.dataclass(frozen=True, slots=True)
class Problem:
    """Path, line, stable code and nearest valid name of a problem."""

    path: str
    line: int
    code: str
    detail: str
    nearest: str | None = None


def format_problem(problem: Problem) -> str:
    """Return the problem as one line of text.

    >>> format_problem(Problem('a.b', 3, 'unknown-field', 'Not a field.'))
    'line 3: a.b: unknown-field: Not a field.'
    """
    text = (
        f'line {problem.line}: {problem.path}: {problem.code}: '
        f'{problem.detail}'
    )
    if problem.nearest is not None:
        text += f' Nearest valid name: {problem.nearest}.'
    return text
