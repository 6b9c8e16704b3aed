"""Test the HTML page of the time line."""

from pomelopass.reporting import timelinepage


def test_page_has_one_row_per_event_and_escapes_text():
    events = [
        timelinepage.PageEvent(1500.0, name, 'kind: <b>')
        for name in ('one', 'two')
    ]
    page = timelinepage.make_page(events)
    assert page.count('<tr><td>1970-01-01T00:00:01.500Z') == 2
    assert '<th scope="col">one</th><th scope="col">two</th>' in page
    assert '<b>' not in page
    assert '&lt;b&gt;' in page
