"""Check the command-line tool without an instance."""

import subprocess
import sys

from scripts import fleet

EXAMPLES = fleet.ROOT / 'examples'


def run(*arguments: str) -> subprocess.CompletedProcess:
    """Run the tool."""
    code = 'from pomelopass import cmdline; cmdline.main()'
    return subprocess.run(
        [sys.executable, '-c', code, *arguments],
        cwd=fleet.ROOT,
        capture_output=True,
        text=True,
        check=False,
    )


def test_check_needs_no_instance():
    completed = run('config', 'check', str(EXAMPLES / 'al-nakheel.jsonc'))
    assert (completed.returncode, completed.stdout) == (
        0,
        'The configuration is valid.\n',
    )


def test_check_prints_every_problem(tmp_path):
    path = tmp_path / 'bad.jsonc'
    path.write_text('{"format": 1,\n "pool": {},\n "service": {}}')
    completed = run('config', 'check', str(path))
    assert completed.returncode == 1
    assert 'line 2: pool: unknown-field' in completed.stderr
    assert 'line 3: service: unknown-field' in completed.stderr
    assert 'Nearest valid name: services.' in completed.stderr


def test_missing_token_file_is_reported():
    completed = run('--instance', '127.0.0.1:9', 'status')
    assert completed.returncode == 1
    assert 'The token file cannot be read' in completed.stderr


def test_unreachable_instance_is_reported(tmp_path):
    token = tmp_path / 'token'
    token.write_text('t')
    access = ('--instance', '127.0.0.1:9', '--token-file', str(token))
    completed = run(*access, 'status')
    assert completed.returncode == 1
    assert '127.0.0.1:9 does not answer' in completed.stderr
