"""Write events as a page that a browser opens."""

import html

from . import isotime

__all__ = ['make_page']

HEAD = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>pomelopass time line</title>
<style>
body { font-family: sans-serif; margin: 1em }
table { border-collapse: collapse }
td, th { border: 1px solid #999; padding: 0.2em 0.5em; text-align: left }
th { position: sticky; top: 0; background: #eee }
</style></head><body><h1>pomelopass time line</h1>
<p>All times are UTC. One column for each process, earliest event first.</p>
"""


def make_page(events: list[dict]) -> str:
    """Return a page with one row per event and one column per process."""
    names = sorted({one['process'] for one in events})
    cells = ''.join(f'<th scope="col">{html.escape(n)}</th>' for n in names)
    rows = [_make_row(one, names) for one in events]
    return (
        f'{HEAD}<table><thead><tr><th scope="col">time</th>{cells}</tr>'
        f'</thead><tbody>{"".join(rows)}</tbody></table></body></html>\n'
    )


def _make_row(one: dict, names: list[str]) -> str:
    text = f'{one["kind"]}: {one["subject"]} {one["detail"]}'
    cells = []
    for name in names:
        inside = html.escape(text) if name == one['process'] else ''
        cells.append(f'<td>{inside}</td>')
    time = isotime.format_utc(one['utc_ms'])
    return f'<tr><td>{time}</td>{"".join(cells)}</tr>\n'
