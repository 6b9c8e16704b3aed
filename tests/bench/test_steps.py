"""Test the replay of trainers' steps from load patterns."""

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


def test_all_pattern_files_are_valid():
    patterns = stepdata.read_patterns()
    assert len({pattern.name for pattern in patterns}) == len(patterns) >= 4


def test_same_seed_gives_the_same_counts():
    runs = [
        steps.replay(make_pattern(), steps.use_own_decisions, 5)
        for _ in range(2)
    ]
    assert runs[0] == runs[1]
    assert runs[0].awaited == 3 * 3
    assert runs[0].share == 1.0


def test_steps_complete_after_loss_of_engines():
    lost = {'at_s': 3.0, 'engines': 2, 'kind': 'lost'}
    counts = steps.replay(
        make_pattern(faults=[lost]), steps.use_own_decisions, 5
    )
    assert counts.share == 1.0
