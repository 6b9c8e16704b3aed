"""Divide the slots for long requests among instances deterministically."""

__all__ = ['get_long_slot_quotas', 'get_long_slots', 'get_sample_slots']


def get_sample_slots(slots: int, sample_percent: int, trains: bool) -> int:
    """Return the slots of one endpoint that samples may use."""
    return max(1, slots * sample_percent // 100) if trains else 0


def get_long_slots(slots: int, long_percent: int, sample_slots: int) -> int:
    """Return the slots of one endpoint that long requests may use.

    Samples and long requests together leave the other slots to short
    requests.
    """
    return max(1, slots * long_percent // 100 - sample_slots)


def get_long_slot_quotas(
    own_id: str, instance_ids: list[str], keys: list[str], long_slots: int
) -> dict[str, int]:
    """Return how many long requests one instance may have per endpoint.

    Every slot belongs to one instance; an instance without a slot gets
    one anyway, so that its long requests do not wait forever.

    >>> get_long_slot_quotas('b', ['a', 'b'], ['e1', 'e2'], 3)
    {'e1': 1, 'e2': 2}
    """
    instances = sorted({*instance_ids, own_id})
    rank = instances.index(own_id)
    ordered = sorted(keys)
    total = len(ordered) * long_slots
    slots_by_key: dict[str, int] = {}
    for slot in range(rank, total, len(instances)):
        key = ordered[slot // long_slots]
        slots_by_key[key] = slots_by_key.get(key, 0) + 1
    if not slots_by_key and ordered:
        slots_by_key[ordered[rank % len(ordered)]] = 1
    return slots_by_key
