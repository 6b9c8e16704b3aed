"""Test the public functions of the package."""

import pytest

import pomelopass


def test_every_public_name_is_callable():
    for name in pomelopass.__all__:
        assert callable(getattr(pomelopass, name))


def test_unknown_name_raises_attribute_error():
    with pytest.raises(AttributeError):
        pomelopass.no_such_verb  # noqa: B018
