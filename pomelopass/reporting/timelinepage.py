"""Render events as an HTML page."""

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
    """Event of a process, with its time in milliseconds since 1970."""

    utc_ms: float
    process: str
    text: str


def make_page(events: list[PageEvent], remarks: abc.Iterable[str] = ()) -> str:
    """Return a page with one row per event and one column per process."""
    processes = sorted({event.process for event in events})
    remark_lines = ''.join(
        f'<p>{html.escape(remark)}</p>\n' for remark in remarks
    )
    cells = ''.join(
        f'<th scope="col">{html.escape(process)}</th>' for process in processes
    )
    rows = [_make_row(event, processes) for event in events]
    return (
        f'{HEAD}{remark_lines}'
        f'<table><thead><tr><th scope="col">time</th>{cells}</tr>'
        f'</thead><tbody>{"".join(rows)}</tbody></table></body></html>\n'
    )


def _make_row(event: PageEvent, processes: list[str]) -> str:
    cells = []
    for process in processes:
        text = html.escape(event.text) if process == event.process else ''
        cells.append(f'<td>{text}</td>')
    time = isotime.format_utc(event.utc_ms)
    return f'<tr><td>{time}</td>{"".join(cells)}</tr>\n'
