"""Share the places for long requests between instances without talk."""

__all__ = ['get_long_slot_quotas', 'get_long_slots', 'get_sample_slots']


def get_sample_slots(slots: int, sample_percent: int, trains: bool) -> int:
    """Return the slots of one endpoint that samples may use."""
    return max(1, slots * sample_percent // 100) if trains else 0


def get_long_slots(slots: int, long_percent: int, sample_slots: int) -> int:
    """Return the slots of one endpoint that long requests may use.

    Samples and long requests together leave the other slots to short ones.
    """
    return max(1, slots * long_percent // 100 - sample_slots)


def get_long_slot_quotas(
    own_id: str, instance_ids: list[str], keys: list[str], long_slots: int
) -> dict[str, int]:
    """Return how many long requests one instance may have per endpoint.

    Every place belongs to one instance; an instance without a place gets
    one, so that its long requests are not stuck.

    >>> get_long_slot_quotas('b', ['a', 'b'], ['e1', 'e2'], 3)
    {'e1': 1, 'e2': 2}
    """
    members = sorted({*instance_ids, own_id})
    rank = members.index(own_id)
    ordered = sorted(keys)
    total = len(ordered) * long_slots
    places: dict[str, int] = {}
    for place in range(rank, total, len(members)):
        key = ordered[place // long_slots]
        places[key] = places.get(key, 0) + 1
    if not places and ordered:
        places[ordered[rank % len(ordered)]] = 1
    return places
