"""Test when an instance takes its links to endpoints for lost."""

from pomelopass.paths import book as books


def make_book(endpoints=8):
    events = []
    book = books.PathBook(lambda: endpoints, lambda e: events.append(e.kind))
    return book, events


def test_endpoint_that_fails_alone_is_not_a_lost_link():
    book, events = make_book()
    for _ in range(20):
        book.record_failure('e0')
    assert not book.needs_peer('e0')
    assert events == []


def test_link_that_only_a_peer_makes_up_for_is_lost_until_it_works():
    book, _ = make_book()
    book.record_failure('e0')
    book.record_detour('e0')
    assert book.needs_peer('e0')
    assert not book.needs_peer('e1')
    book.record_reached('e1')
    assert book.needs_peer('e0')
    book.record_reached('e0')
    assert not book.needs_peer('e0')


def test_two_failures_of_which_a_peer_disproves_one_are_a_cut():
    book, events = make_book()
    book.record_failure('e0')
    book.record_detour('e0')
    book.record_failure('e1')
    assert book.is_cut_off
    # Endpoints that were not tried yet need no failure of their own.
    assert book.needs_peer('e7')
    book.record_reached('e7')
    assert not book.is_cut_off
    assert events[-1] == 'endpoints-regained'


def test_failures_that_no_peer_disproves_need_more_endpoints():
    book, _ = make_book()
    for number in range(3):
        book.record_failure(f'e{number}')
    assert not book.is_cut_off
    book.record_failure('e3')
    assert book.is_cut_off


def test_failures_between_answers_do_not_add_up():
    book, _ = make_book()
    for number in range(8):
        book.record_failure(f'e{number}')
        book.record_reached('other')
    assert not book.is_cut_off


def test_all_of_few_endpoints_are_enough():
    book, _ = make_book(endpoints=1)
    book.record_failure('e0')
    assert book.is_cut_off
