"""Parse JSON with comments and record the line of each value."""

import dataclasses
import re
from typing import Any

import jsonc
from returns import result

from . import problem

__all__ = ['Document', 'read_document']

TOKEN = re.compile(
    r'(?P<space>\s+|//[^\n]*|/\*.*?\*/)'
    r'|(?P<string>"(?:[^"\\]|\\.)*")'
    r'|(?P<mark>[{}\[\]:,])'
    r'|(?P<other>[^\s{}\[\]:,"/]+|/)',
    re.DOTALL,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Document:
    """A parsed value and the line of each path in it."""

    value: Any
    line_by_path: dict[str, int]

    def get_line(self, path: str) -> int:
        """Return the line of a path or of its nearest parent."""
        while path:
            if path in self.line_by_path:
                return self.line_by_path[path]
            path = path.rpartition('.')[0]
        return 1


@dataclasses.dataclass(slots=True)
class _Scope:
    path: str
    is_object: bool
    index: int = 0
    key: str | None = None


def read_document(
    text: str,
) -> result.Result[Document, list[problem.Problem]]:
    """Return the document, or its syntax errors and duplicate names."""
    try:
        value = jsonc.loads(text)
    except ValueError as error:
        return result.Failure([_make_syntax_problem(error)])
    lines, problems = _find_lines(text)
    if problems:
        return result.Failure(problems)
    return result.Success(Document(value, lines))


def _make_syntax_problem(error: ValueError) -> problem.Problem:
    line = getattr(error, 'lineno', 1)
    detail = f'The text is not JSON: {error}.'
    return problem.Problem('', line, 'bad-syntax', detail)


def _find_lines(
    text: str,
) -> tuple[dict[str, int], list[problem.Problem]]:
    line_by_path: dict[str, int] = {}
    problems: list[problem.Problem] = []
    scopes: list[_Scope] = []
    line = 1
    for match in TOKEN.finditer(text):
        token = match.group()
        if match.lastgroup == 'string' and _expects_key(scopes):
            scopes[-1].key = jsonc.loads(token)
            path = _get_path(scopes)
            if path in line_by_path:
                problems.append(_make_duplicate(path, line))
            line_by_path[path] = line
        elif match.lastgroup == 'mark':
            _update_scopes(scopes, token, line_by_path, line)
        line += token.count('\n')
    return line_by_path, problems


def _expects_key(scopes: list[_Scope]) -> bool:
    return bool(scopes) and scopes[-1].is_object and scopes[-1].key is None


def _get_path(scopes: list[_Scope]) -> str:
    if not scopes:
        return ''
    scope = scopes[-1]
    name = scope.key if scope.is_object else str(scope.index)
    return f'{scope.path}.{name}' if scope.path else str(name)


def _update_scopes(
    scopes: list[_Scope],
    token: str,
    line_by_path: dict[str, int],
    line: int,
) -> None:
    if token in '{[':
        path = _get_path(scopes)
        line_by_path.setdefault(path, line)
        scopes.append(_Scope(path, token == '{'))
    elif token in '}]':
        scopes.pop()
    elif token == ',':
        scopes[-1].key = None
        scopes[-1].index += 1


def _make_duplicate(path: str, line: int) -> problem.Problem:
    detail = 'The name stands twice.'
    return problem.Problem(path, line, 'duplicate-name', detail)
