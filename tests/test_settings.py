"""Check the settings of a daemon."""

import json

from returns import result

from pomelopass.running import settings


def make_text(**changes: object) -> str:
    """Return settings with some values changed."""
    value = {
        'id': 'entry-0',
        'availability_zone': 'north',
        'caller_address': '127.0.0.1:0',
        'peer_address': '127.0.0.1:0',
        'operator_address': '127.0.0.1:0',
        'operator_token_file': 'token',
        'table_address': '127.0.0.1:1',
        'object_address': '127.0.0.1:2',
        'list_address': '[::1]:3',
        **changes,
    }
    return '// settings\n' + json.dumps(value, indent=1)


def test_valid_settings_with_a_comment():
    assert isinstance(settings.check_settings(make_text()), result.Success)


def test_all_problems_are_reported_with_their_lines():
    text = make_text(
        caller_address='localhost:1', max_body_bytes='8', max_connection=5
    )
    problems = settings.check_settings(text).failure()
    codes = {(problem.path, problem.code) for problem in problems}
    assert codes == {
        ('caller_address', 'wrong-type'),
        ('max_body_bytes', 'wrong-type'),
        ('max_connection', 'unknown-field'),
    }
    lines = text.splitlines()
    assert all(problem.path in lines[problem.line - 1] for problem in problems)
    nearest = {problem.nearest for problem in problems if problem.nearest}
    assert nearest == {'max_connections'}


def test_missing_file_is_a_problem():
    problems = settings.load_settings('no-such-file').failure()
    assert problems[0].code == 'no-file'
