"""Run the stand-in named by the first argument."""

import sys

from standins import engine
from standins import instances
from standins import objects
from standins import platform
from standins import relay
from standins import service
from standins import table
from standins import trainer

MAIN_BY_NAME = {
    'engine': engine.main,
    'instances': instances.main,
    'objects': objects.main,
    'platform': platform.main,
    'relay': relay.main,
    'service': service.main,
    'table': table.main,
    'trainer': trainer.main,
}


def main() -> None:
    """Run a stand-in by name."""
    name = sys.argv.pop(1) if len(sys.argv) > 1 else ''
    if name not in MAIN_BY_NAME:
        names = ', '.join(sorted(MAIN_BY_NAME))
        sys.exit(f'Expected the name of a stand-in: {names}.')
    MAIN_BY_NAME[name]()


if __name__ == '__main__':
    main()
