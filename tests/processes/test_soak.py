"""Run a short soak with fixed seeds."""

import pytest

from soak import run

SEEDS = (1, 2)
# Each seed that ever failed, and why.
FAILED_SEEDS = {4001: 'another process had taken a port of an instance'}
SECONDS = 6.0
INSTANCES = 3


@pytest.mark.parametrize('seed', (*SEEDS, *FAILED_SEEDS))
def test_promises_hold_under_random_faults(tmp_path, seed):
    failures, events = run.run_soak(tmp_path, seed, SECONDS, INSTANCES)
    assert failures == [], events
