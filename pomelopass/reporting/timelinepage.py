"""Write events as a page that a browser opens."""

from collections import abc
import dataclasses
import html

from . import isotime

__all__ = ['PageEvent', 'make_page']

HEAD = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>pomelopass time line</title>
<style>
body { font-family: sans-serif; margin: 1em }
table { border-collapse: collapse }
td, th { border: 1px solid #999; padding: 0.2em 0.5em; text-align: left }
th { position: sticky; top: 0; background: #eee }
td:first-child { white-space: nowrap }
</style></head><body><h1>pomelopass time line</h1>
<p>All times are UTC. One column for each process, earliest event first.</p>
"""


@dataclasses.dataclass(frozen=True, slots=True)
class PageEvent:
    """Hold an event of a process; its time is milliseconds since 1970."""

    utc_ms: float
    process: str
    text: str


def make_page(events: list[PageEvent], remarks: abc.Iterable[str] = ()) -> str:
    """Return a page with one row per event and one column per process."""
    names = sorted({one.process for one in events})
    told = ''.join(f'<p>{html.escape(one)}</p>\n' for one in remarks)
    cells = ''.join(f'<th scope="col">{html.escape(n)}</th>' for n in names)
    rows = [_make_row(one, names) for one in events]
    return (
        f'{HEAD}{told}<table><thead><tr><th scope="col">time</th>{cells}</tr>'
        f'</thead><tbody>{"".join(rows)}</tbody></table></body></html>\n'
    )


def _make_row(one: PageEvent, names: list[str]) -> str:
    cells = []
    for name in names:
        inside = html.escape(one.text) if name == one.process else ''
        cells.append(f'<td>{inside}</td>')
    time = isotime.format_utc(one.utc_ms)
    return f'<tr><td>{time}</td>{"".join(cells)}</tr>\n'
