"""Write outcomes as text, JSON and a plot."""

import dataclasses
import json
import pathlib

from bench import target

__all__ = ['format_outcome', 'write_results']

FOLDER = pathlib.Path(__file__).resolve().parent / 'results'


def format_outcome(outcome: target.Outcome) -> str:
    """Return an outcome as one line."""
    state = 'met' if outcome.met else 'MISSED'
    sign = 'at least' if outcome.target.at_least else 'at most'
    line = (
        f'{state:6s} {outcome.target.name}: {outcome.value:.3f}'
        f' {outcome.target.unit} ({sign} {outcome.target.bound:g})'
    )
    for name, value in outcome.baselines.items():
        line += f'; {name} {value:.3f}'
    return line


def write_results(outcomes: list[target.Outcome], name: str) -> None:
    """Write the text, JSON and plot files of one benchmark."""
    FOLDER.mkdir(exist_ok=True)
    lines = [format_outcome(outcome) for outcome in outcomes]
    (FOLDER / f'{name}.txt').write_text('\n'.join(lines) + '\n')
    values = [
        {**dataclasses.asdict(outcome), 'met': outcome.met}
        for outcome in outcomes
    ]
    text = json.dumps(values, indent=1)
    (FOLDER / f'{name}.json').write_text(text + '\n')
    _plot(outcomes, FOLDER / f'{name}.png')


def _plot(outcomes: list[target.Outcome], path: pathlib.Path) -> None:
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(11, 0.55 * len(outcomes) + 1.5))
    for row, outcome in enumerate(outcomes):
        bound = outcome.target.bound or 1.0
        axes.barh(row, outcome.value / bound, color='0.3', height=0.4)
        for value in outcome.baselines.values():
            axes.plot(min(value / bound, 8), row, 'x', color='0.6')
    axes.axvline(1.0, color='black', linestyle='--')
    axes.set_yticks(range(len(outcomes)))
    axes.set_yticklabels(
        [_get_label(outcome) for outcome in outcomes], fontsize=7
    )
    axes.invert_yaxis()
    axes.set_xlabel('value over bound (dashed); x marks baselines')
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def _get_label(outcome: target.Outcome) -> str:
    sign = 'at least' if outcome.target.at_least else 'at most'
    return f'{outcome.target.name}\n({sign} {outcome.target.bound:g})'
