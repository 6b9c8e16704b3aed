"""Test that the decision core does no input or output."""

import ast

from scripts import fleet

CORE = fleet.ROOT / 'pomelopass' / 'core'
ALLOWED = {
    '__future__',
    'collections',
    'dataclasses',
    'enum',
    'math',
    'statistics',
    'xxhash',
}


def test_core_imports_only_pure_modules():
    for path in sorted(CORE.glob('*.py')):
        for node in ast.walk(ast.parse(path.read_text())):
            if isinstance(node, ast.Import):
                names = {alias.name.partition('.')[0] for alias in node.names}
                assert names <= ALLOWED, path
            elif isinstance(node, ast.ImportFrom) and node.level == 0:
                assert node.module.partition('.')[0] in ALLOWED, path
            elif isinstance(node, ast.ImportFrom):
                assert node.level == 1, path
