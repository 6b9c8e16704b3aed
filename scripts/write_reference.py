"""Generate the reference tables of the documentation from the models."""

import pathlib
import sys
import types
import typing

import pydantic

from pomelopass.core import refusal
from pomelopass.entry import settings as entrysettings
from pomelopass import kind
from pomelopass.reporting import logevents
from pomelopass.running import settings

__all__ = [
    'main',
    'make_api_part',
    'make_configuration_part',
    'make_events_part',
]

ROOT = pathlib.Path(__file__).resolve().parent.parent
BEGIN = '<!-- generated: begin -->'
END = '<!-- generated: end -->'


def main() -> int:
    """Write each page's generated part between its markers."""
    write(ROOT / 'docs' / 'CONFIGURATION.md', make_configuration_part())
    write(ROOT / 'docs' / 'API.md', make_api_part())
    write(ROOT / 'docs' / 'EVENTS.md', make_events_part())
    return 0


def write(path: pathlib.Path, part: str) -> None:
    """Replace the text between the markers of a file."""
    text = path.read_text(encoding='utf-8')
    head, _, rest = text.partition(BEGIN)
    tail = rest.partition(END)[2]
    path.write_text(f'{head}{BEGIN}\n{part}{END}{tail}', encoding='utf-8')


def make_configuration_part() -> str:
    """Return tables of all settings and configuration fields."""
    parts = [
        _make_table(
            'Settings of an entry instance', entrysettings.EntrySettings
        ),
        _make_table('Settings of a daemon', settings.Settings),
    ]
    for resource_kind in kind.get_all_kinds():
        parts.append(
            _make_table(f'`{resource_kind.collection}`', resource_kind.model)
        )
    return '\n'.join(parts)


def make_api_part() -> str:
    """Return the table of refusal codes."""
    lines = ['| code | HTTP status |', '| --- | --- |']
    for code in refusal.get_all_codes():
        lines.append(f'| `{code}` | {refusal.get_status(code)} |')
    return '\n'.join(lines) + '\n'


def make_events_part() -> str:
    """Return the tables of events and of event fields."""
    lines = ['| event | meaning | fields |', '| --- | --- | --- |']
    for event in logevents.get_all_events():
        summary = ' '.join((event.__doc__ or '').split())
        fields = ', '.join(f'`{name}`' for name in event.__slots__)
        lines.append(f'| `{event.kind}` | {summary} | {fields or "-"} |')
    lines += ['', '| field | meaning |', '| --- | --- |']
    for name, meaning in logevents.FIELD_MEANINGS.items():
        lines.append(f'| `{name}` | {meaning} |')
    return '\n'.join(lines) + '\n'


def _make_table(title: str, model: type[pydantic.BaseModel]) -> str:
    lines = [
        f'### {title}',
        '',
        '| field | type | default | range | meaning |',
        '| --- | --- | --- | --- | --- |',
    ]
    for name, field in model.model_fields.items():
        default = 'required' if field.is_required() else f'`{field.default}`'
        cells = (
            f'`{name}`',
            _get_type_name(field.annotation),
            default,
            _get_range(field),
            field.description or '',
        )
        lines.append(f'| {" | ".join(cells)} |')
    return '\n'.join(lines) + '\n'


def _get_type_name(annotation: object) -> str:
    origin = typing.get_origin(annotation)
    if origin is typing.Annotated:
        return _get_type_name(typing.get_args(annotation)[0])
    if origin in (types.UnionType, typing.Union):
        names = [_get_type_name(arg) for arg in typing.get_args(annotation)]
        return ' or '.join(names)
    if origin is tuple:
        return f'list of {_get_type_name(typing.get_args(annotation)[0])}'
    if annotation is types.NoneType:
        return 'nothing'
    if typing.get_origin(annotation) is typing.Literal:
        values = typing.get_args(annotation)
        return ' or '.join(f'`"{value}"`' for value in values)
    if isinstance(annotation, type):
        return annotation.__name__
    return str(annotation).replace('|', 'or')


def _get_range(field: pydantic.fields.FieldInfo) -> str:
    bounds = []
    for constraint in field.metadata:
        for name, sign in (('ge', '≥'), ('gt', '>'), ('le', '≤')):
            value = getattr(constraint, name, None)
            if value is not None:
                bounds.append(f'{sign} {value}')
    return ', '.join(bounds) or '-'


if __name__ == '__main__':
    sys.exit(main())
