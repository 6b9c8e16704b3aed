"""Check that the reference in the documentation is up to date."""

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
