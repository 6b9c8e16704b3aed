"""Test the verbs of the package."""

import pytest

import pomelopass


def test_every_verb_is_found():
    for verb in pomelopass.__all__:
        assert callable(getattr(pomelopass, verb))


def test_unknown_name_is_refused():
    with pytest.raises(AttributeError):
        pomelopass.no_such_verb  # noqa: B018
