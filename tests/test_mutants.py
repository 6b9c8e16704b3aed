"""Test that each mutant still names one place in the sources."""

import pathlib

import pytest

from scripts import fleetmutants
from scripts import jobmutants
from scripts import requestmutants

ROOT = pathlib.Path(__file__).resolve().parent.parent
MUTANTS = (
    *requestmutants.MUTANTS,
    *fleetmutants.MUTANTS,
    *jobmutants.MUTANTS,
)


@pytest.mark.parametrize('broken', MUTANTS, ids=lambda one: one.name)
def test_mutant_breaks_one_place(broken):
    text = (ROOT / broken.path).read_text(encoding='utf-8')
    assert text.count(broken.old) == 1
    for name in broken.tests:
        assert (ROOT / name.partition('::')[0]).exists()
