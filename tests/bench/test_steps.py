"""Test the replay of trainers' steps."""

from bench import stepdata
from bench import steps


def make_pattern(**changes):
    return stepdata.Pattern(
        **{
            'name': 'small',
            'instances': 3,
            'engines': 3,
            'slots': 6,
            'steps': 3,
            'trainers': [{'model': 'a', 'groups': 4, 'group_size': 3}],
            **changes,
        }
    )


def test_patterns_of_the_folder_can_be_read():
    patterns = stepdata.read_patterns()
    assert len({one.name for one in patterns}) == len(patterns) >= 4


def test_same_seed_gives_the_same_counts():
    runs = [
        steps.replay(make_pattern(), steps.use_product, 5) for _ in range(2)
    ]
    assert runs[0] == runs[1]
    assert runs[0].waited == 3 * 3
    assert runs[0].share == 1.0


def test_steps_go_on_when_engines_are_lost():
    lost = {'at_s': 3.0, 'engines': 2, 'kind': 'lost'}
    counts = steps.replay(make_pattern(faults=[lost]), steps.use_product, 5)
    assert counts.share == 1.0
