"""Run an entry instance as a process."""

import gc
import os
import sys


def main() -> int:
    """Import and run the instance; return the exit status."""
    # Nothing imported is ever freed; to search it for garbage takes a
    # sixteenth of each start.
    gc.disable()
    # None is installed with the process; to look for some takes 7 ms.
    os.environ.setdefault('PYDANTIC_DISABLE_PLUGINS', '1')
    from . import process

    gc.freeze()
    gc.enable()
    return process.main()


if __name__ == '__main__':
    sys.exit(main())
