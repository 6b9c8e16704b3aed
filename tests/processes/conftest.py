"""Start a fleet of processes for a test."""

import pathlib

import pytest

from scripts import fleet
from scripts import probe
from tests.processes import fleets


@pytest.fixture
def running(tmp_path: pathlib.Path):
    """Return a running fleet with a configuration in force."""
    with fleet.Fleet(tmp_path, fleets.make_deployment()) as one:
        one.start_all()
        done = one.run_tool(
            'config', 'propose', str(fleets.EXAMPLE), '--base', '0'
        )
        assert done.returncode == 0, done.stderr
        one.wait_ready()
        probe.wait_for(lambda: len(fleets.get_entries(one)) == 3)
        probe.wait_for(lambda: fleets.find_holder(one) is not None)
        yield one
