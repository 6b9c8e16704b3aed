"""Test which software the streams without a row are taken to have."""

import hypothesis
from hypothesis import strategies

from pomelopass.origins import bases
from pomelopass.origins import origin as origins

SOFTWARE = strategies.sampled_from(['v1', 'v2', 'v3'])
COUNTS = strategies.dictionaries(SOFTWARE, strategies.integers(1, 4))


def test_base_is_the_software_of_most_endpoints_at_first():
    base = bases.choose_base(None, {'v1': 1, 'v2': 3}, 0)
    assert base == origins.Base('v2')
    assert bases.choose_base(None, {}, 0) is None


def test_base_stays_while_endpoints_of_it_serve():
    base = bases.choose_base(origins.Base('v1'), {'v1': 1, 'v2': 9}, 0)
    assert base == origins.Base('v1')


def test_base_changes_only_long_after_its_last_endpoint_left():
    absent = bases.choose_base(origins.Base('v1'), {'v2': 1}, 1000)
    assert absent == origins.Base('v1', 1000)
    late = 1000 + bases.BASE_TTL_MS
    assert bases.choose_base(absent, {'v2': 1}, late - 1) == absent
    assert bases.choose_base(absent, {'v2': 1}, late) == origins.Base('v2')


def test_base_that_came_back_counts_as_never_gone():
    absent = origins.Base('v1', 1000)
    late = 1000 + bases.BASE_TTL_MS
    base = bases.choose_base(absent, {'v1': 1, 'v2': 1}, late)
    assert base == origins.Base('v1')


@hypothesis.given(
    strategies.lists(
        strategies.tuples(COUNTS, strategies.integers(1, 200_000)), max_size=30
    )
)
def test_base_never_changes_while_its_streams_may_be_resumed(history):
    base = None
    now_ms = 0
    last_seen_ms = {}
    for counts, pause_ms in history:
        now_ms += pause_ms
        last_seen_ms.update(dict.fromkeys(counts, now_ms))
        changed = bases.choose_base(base, counts, now_ms)
        if base is not None and changed.software != base.software:
            gone_ms = now_ms - last_seen_ms.get(base.software, 0)
            assert gone_ms >= bases.BASE_TTL_MS
        base = changed
