"""Start a fleet of processes for a test."""

import pathlib

import pytest

from scripts import fleet
from scripts import probe
from tests.processes import fleets


@pytest.fixture
def running_fleet(tmp_path: pathlib.Path):
    """Yield a running fleet with a configuration in force."""
    with fleet.Fleet(tmp_path, fleets.make_deployment()) as small_fleet:
        try:
            start(small_fleet)
        except TimeoutError as error:
            raise AssertionError(small_fleet.describe()) from error
        yield small_fleet


def start(small_fleet: fleet.Fleet) -> None:
    """Start all processes and wait for a configuration and a duty holder."""
    small_fleet.start_all()
    completed = small_fleet.run_tool(
        'config', 'propose', str(fleets.EXAMPLE), '--base', '0'
    )
    assert completed.returncode == 0, completed.stderr
    small_fleet.wait_ready()
    probe.wait_for(lambda: len(fleets.get_entries(small_fleet)) == 3)
    probe.wait_for(lambda: fleets.find_duty_holder(small_fleet) is not None)
