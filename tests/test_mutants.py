"""Test that each mutant matches exactly one place in the sources."""

import pathlib

import pytest

from scripts import clientmutants
from scripts import configmutants
from scripts import costmutants
from scripts import dutymutants
from scripts import endmutants
from scripts import fleetmutants
from scripts import jobmutants
from scripts import leavingmutants
from scripts import memorymutants
from scripts import pathmutants
from scripts import placementmutants
from scripts import requestmutants
from scripts import scalingmutants
from scripts import sharedmutants
from scripts import workspacemutants

ROOT = pathlib.Path(__file__).resolve().parent.parent
MUTANTS = (
    *requestmutants.MUTANTS,
    *fleetmutants.MUTANTS,
    *jobmutants.MUTANTS,
    *sharedmutants.MUTANTS,
    *pathmutants.MUTANTS,
    *leavingmutants.MUTANTS,
    *endmutants.MUTANTS,
    *configmutants.MUTANTS,
    *costmutants.MUTANTS,
    *memorymutants.MUTANTS,
    *dutymutants.MUTANTS,
    *scalingmutants.MUTANTS,
    *workspacemutants.MUTANTS,
    *clientmutants.MUTANTS,
    *placementmutants.MUTANTS,
)


@pytest.mark.parametrize('tested', MUTANTS, ids=lambda mutant: mutant.name)
def test_mutant_matches_exactly_one_place(tested):
    text = (ROOT / tested.path).read_text(encoding='utf-8')
    assert text.count(tested.old) == 1
    for test in tested.tests:
        assert (ROOT / test.partition('::')[0]).exists()
