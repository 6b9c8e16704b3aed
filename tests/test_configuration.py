"""Check configurations as a whole."""

import json

import pytest
from returns import result

from pomelopass.configuring import configuration
from scripts import fleet
from tests import builders


def find_problems(text: str) -> list[tuple[str, str, str | None]]:
    """Return path, code and nearest name of each problem."""
    checked = configuration.check_configuration(text)
    assert isinstance(checked, result.Failure)
    return [(one.path, one.code, one.nearest) for one in checked.failure()]


@pytest.mark.parametrize('name', ['sinaleira', 'al-nakheel'])
def test_examples_are_valid(name):
    path = fleet.ROOT / 'examples' / f'{name}.jsonc'
    checked = configuration.check_configuration(path.read_text())
    assert isinstance(checked, result.Success)


def test_every_problem_is_told_at_once_with_its_line():
    value = json.loads(builders.make_configuration_text())
    value['services']['orders']['timeout_ms'] = 0
    value['services']['matching']['model'] = 'matchr'
    value['pools']['engines']['policy'] = 'two-choice'
    value['trainers']['learner']['scorer'] = 'score'
    value['trainers']['learner']['group_size'] = '2'
    value['trainer'] = {}
    text = json.dumps(value, indent=1)
    assert set(find_problems(text)) == {
        ('services.orders.timeout_ms', 'out-of-range', None),
        ('services.matching.model', 'unknown-name', 'matcher'),
        ('pools.engines.policy', 'unknown-name', 'two-choices'),
        ('trainers.learner.group_size', 'wrong-type', None),
        ('trainer', 'unknown-field', 'trainers'),
    }
    checked = configuration.check_configuration(text)
    lines = text.splitlines()
    for one in checked.failure():
        name = one.path.rpartition('.')[2]
        assert name in lines[one.line - 1]


def test_two_trainers_of_one_model_are_refused():
    value = json.loads(builders.make_configuration_text())
    value['trainers']['other'] = value['trainers']['learner']
    found = find_problems(json.dumps(value))
    assert ('trainers.other.model', 'duplicate-model', None) in found


def test_name_that_stands_twice_is_refused():
    text = '{"format": 1,\n "pools": {},\n "pools": {}}'
    assert find_problems(text) == [('pools', 'duplicate-name', None)]


def test_text_that_is_not_json_names_the_line():
    checked = configuration.check_configuration('{"format": 1,\n "a": }')
    problems = checked.failure()
    assert (problems[0].code, problems[0].line) == ('bad-syntax', 2)
