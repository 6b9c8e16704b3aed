"""Test that the generated reference documentation is up to date."""

from pomelopass.reporting import logevents
from scripts import write_reference


def read(name: str) -> str:
    """Return a page of the documentation."""
    path = write_reference.ROOT / 'docs' / name
    return path.read_text(encoding='utf-8')


def test_configuration_reference_is_up_to_date():
    part = write_reference.make_configuration_part()
    assert part in read('CONFIGURATION.md')


def test_refusal_codes_are_up_to_date():
    assert write_reference.make_api_part() in read('API.md')


def test_events_are_up_to_date():
    assert write_reference.make_events_part() in read('EVENTS.md')


def test_event_fields_and_meanings_match():
    used = {
        name
        for event in logevents.get_all_events()
        for name in event.__slots__
    }
    assert used == set(logevents.FIELD_MEANINGS)


def test_events_have_different_kinds():
    kinds = [event.kind for event in logevents.get_all_events()]
    assert 'request-ended' in kinds
    assert len(kinds) == len(set(kinds))
