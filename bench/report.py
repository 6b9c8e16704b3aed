"""Write outcomes as a table, as JSON and as a plot."""

import dataclasses
import json
import pathlib

from bench import target

__all__ = ['format_outcome', 'write_results']

FOLDER = pathlib.Path(__file__).resolve().parent / 'results'


def format_outcome(one: target.Outcome) -> str:
    """Return an outcome as one line."""
    word = 'met' if one.met else 'MISSED'
    sign = 'at least' if one.target.at_least else 'at most'
    line = (
        f'{word:6s} {one.target.name}: {one.value:.3f} {one.target.unit}'
        f' ({sign} {one.target.bound:g})'
    )
    for name, value in one.baselines.items():
        line += f'; {name} {value:.3f}'
    return line


def write_results(outcomes: list[target.Outcome], name: str) -> None:
    """Write the table, the JSON and the plot of one bench."""
    FOLDER.mkdir(exist_ok=True)
    lines = [format_outcome(one) for one in outcomes]
    (FOLDER / f'{name}.txt').write_text('\n'.join(lines) + '\n')
    values = [{**dataclasses.asdict(one), 'met': one.met} for one in outcomes]
    text = json.dumps(values, indent=1)
    (FOLDER / f'{name}.json').write_text(text + '\n')
    _plot(outcomes, FOLDER / f'{name}.png')


def _plot(outcomes: list[target.Outcome], path: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(11, 0.55 * len(outcomes) + 1.5))
    for row, one in enumerate(outcomes):
        bound = one.target.bound or 1.0
        axes.barh(row, one.value / bound, color='0.3', height=0.4)
        for value in one.baselines.values():
            axes.plot(min(value / bound, 8), row, 'x', color='0.6')
    axes.axvline(1.0, color='black', linestyle='--')
    axes.set_yticks(range(len(outcomes)))
    axes.set_yticklabels([_get_label(one) for one in outcomes], fontsize=7)
    axes.invert_yaxis()
    axes.set_xlabel('value over bound (dashed); x marks baselines')
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def _get_label(one: target.Outcome) -> str:
    sign = 'at least' if one.target.at_least else 'at most'
    return f'{one.target.name}\n({sign} {one.target.bound:g})'
