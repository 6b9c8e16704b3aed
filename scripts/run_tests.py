"""Run all tests except those listed in KNOWN-RED.txt."""

import pathlib
import subprocess
import sys

__all__ = ['main', 'read_known_red']

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def read_known_red(text: str) -> list[str]:
    """Return the test ids: the unindented lines that start with tests/.

    >>> read_known_red('# comment\\ntests/test_a.py::test_b\\n  seen: x\\n')
    ['tests/test_a.py::test_b']
    """
    return [
        line.strip() for line in text.splitlines() if line.startswith('tests/')
    ]


def main() -> int:
    """Print the skipped tests, run the others, return pytest's status."""
    skipped_ids = read_known_red(KNOWN_RED.read_text(encoding='utf-8'))
    for test_id in skipped_ids:
        print(f'KNOWN RED, skipped: {test_id}')
    command = [sys.executable, '-m', 'pytest', *sys.argv[1:]]
    for test_id in skipped_ids:
        command.extend(['--deselect', test_id])
    return subprocess.run(command, cwd=ROOT, check=False).returncode


if __name__ == '__main__':
    sys.exit(main())
