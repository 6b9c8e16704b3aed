"""Test the check of full configurations."""

import json

import pytest
from returns import result

from pomelopass.configuring import configuration
from scripts import fleet
from tests import builders


def find_problems(text: str) -> list[tuple[str, str, str | None]]:
    """Return path, code and nearest name of each problem."""
    check_result = configuration.check_configuration(text)
    assert isinstance(check_result, result.Failure)
    return [
        (problem.path, problem.code, problem.nearest)
        for problem in check_result.failure()
    ]


@pytest.mark.parametrize('name', ['sinaleira', 'al-nakheel'])
def test_examples_are_valid(name):
    path = fleet.ROOT / 'examples' / f'{name}.jsonc'
    check_result = configuration.check_configuration(path.read_text())
    assert isinstance(check_result, result.Success)


def test_all_problems_are_reported_with_their_lines():
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
    check_result = configuration.check_configuration(text)
    lines = text.splitlines()
    for problem in check_result.failure():
        name = problem.path.rpartition('.')[2]
        assert name in lines[problem.line - 1]


def test_two_trainers_of_one_model_are_invalid():
    value = json.loads(builders.make_configuration_text())
    value['trainers']['other'] = value['trainers']['learner']
    problems = find_problems(json.dumps(value))
    assert ('trainers.other.model', 'duplicate-model', None) in problems


def test_duplicate_name_is_invalid():
    text = '{"format": 1,\n "pools": {},\n "pools": {}}'
    assert find_problems(text) == [('pools', 'duplicate-name', None)]


def test_syntax_error_has_its_line():
    check_result = configuration.check_configuration('{"format": 1,\n "a": }')
    problems = check_result.failure()
    assert (problems[0].code, problems[0].line) == ('bad-syntax', 2)
