"""Baselines for the choice of an endpoint, and full knowledge."""

from collections import abc
import dataclasses
import itertools
import random

from bench import zonedata
from pomelopass.placement import placer as placers
from pomelopass.registry import endpoint as endpoints
from standins import entries

__all__ = ['POLICIES', 'PolicyPlacer', 'SinglePacePlacer']

Choose = abc.Callable[
    [list[endpoints.EndpointState], placers.CallWork, float],
    endpoints.EndpointState,
]


class PolicyPlacer(placers.Placer):
    """A placement in which a baseline chooses among sound endpoints."""

    def __init__(self, own_zone: str, choose: Choose):
        super().__init__(own_zone)
        self.choose = choose

    def choose_for_call(
        self,
        states: abc.Iterable[endpoints.EndpointState],
        avoid: abc.Container[str],
        work: placers.CallWork,
        now: float,
    ) -> endpoints.EndpointState | None:
        sound = [
            state
            for state in states
            if state.endpoint.id not in avoid and not state.is_backing_off(now)
        ]
        return self.choose(sound, work, now) if sound else None


class SinglePacePlacer(placers.Placer):
    """The product's placement with one pace for all kinds of work."""

    def choose_for_call(
        self,
        states: abc.Iterable[endpoints.EndpointState],
        avoid: abc.Container[str],
        work: placers.CallWork,
        now: float,
    ) -> endpoints.EndpointState | None:
        any_work = dataclasses.replace(work, route='any')
        return super().choose_for_call(states, avoid, any_work, now)

    def record_answer(
        self,
        state: endpoints.EndpointState,
        work: placers.CallWork,
        took_ms: float | None,
        answer_bytes: int,
    ) -> None:
        any_work = dataclasses.replace(work, route='any')
        super().record_answer(state, any_work, took_ms, answer_bytes)


def make_arrival_order(
    cluster: entries.EntryCluster, pattern: zonedata.ZonePattern, zone: str
) -> Choose:
    """Send each request to the next endpoint in turn with a free slot."""
    turns = itertools.count(random.Random(zone).randrange(100))

    def choose(states, work, now):
        first = next(turns) % len(states)
        ordered = states[first:] + states[:first]
        free = [
            state
            for state in ordered
            if state.in_flight < state.endpoint.slots
        ]
        return (free or ordered)[0]

    return choose


def make_least_load(
    cluster: entries.EntryCluster, pattern: zonedata.ZonePattern, zone: str
) -> Choose:
    """Send each request to the endpoint with the least known load."""

    def choose(states, work, now):
        return min(states, key=lambda state: endpoints.count_load(state, now))

    return choose


def make_two_choices(
    cluster: entries.EntryCluster, pattern: zonedata.ZonePattern, zone: str
) -> Choose:
    """Send each request to the less loaded of two random endpoints."""
    rng = random.Random(f'two {zone}')

    def choose(states, work, now):
        pair = rng.sample(states, min(2, len(states)))
        return min(pair, key=lambda state: endpoints.count_load(state, now))

    return choose


def make_zone_first(
    cluster: entries.EntryCluster, pattern: zonedata.ZonePattern, zone: str
) -> Choose:
    """Leave the zone only while each of its slots is known to be taken."""

    def choose(states, work, now):
        free = [
            state
            for state in states
            if state.endpoint.availability_zone == zone
            and endpoints.count_load(state, now) < state.endpoint.slots
        ]
        return min(
            free or states,
            key=lambda state: endpoints.count_load(state, now),
        )

    return choose


def make_full_knowledge(
    cluster: entries.EntryCluster, pattern: zonedata.ZonePattern, zone: str
) -> Choose:
    """Choose with the present load, pace and latency of all endpoints."""
    work_by_route = {work.route: work for work in pattern.work}
    mean_ms = sum(work.work_ms * work.share for work in pattern.work)

    def choose(states, call_work, now):
        work = work_by_route[call_work.route]

        def get_cost(state):
            server = cluster.pool.find(state.endpoint.id)
            load = (server.running + server.waiting) / server.slots
            ahead = load + (1 - server.slots) / server.slots
            # A taken slot also delays requests to come. This weight gave the
            # lowest costs over all patterns, of six that were tried.
            wait_ms = mean_ms * (max(ahead, 0.0) + 0.5 * load**2)
            cost_ms = (work.work_ms + wait_ms) * server.slowness
            if server.availability_zone == zone:
                return cost_ms
            factor = cluster.pool.way_factor_by_zone.get(
                server.availability_zone, 1.0
            )
            moved_mb = (work.body_bytes + work.answer_bytes) / 1e6
            return (
                cost_ms
                + 2 * pattern.one_way_ms * factor
                + moved_mb * pattern.transfer_ms_per_mb
            )

        lost_zones = next(
            entry.links.lost_zones
            for entry in cluster.entry_by_name.values()
            if entry.links.zone == zone
        )
        reached = [
            state
            for state in states
            if state.endpoint.availability_zone not in lost_zones
        ]
        return min(reached or states, key=get_cost)

    return choose


POLICIES = {
    'first come first served': make_arrival_order,
    'least loaded': make_least_load,
    'power of two choices': make_two_choices,
    'own zone first': make_zone_first,
    'full knowledge': make_full_knowledge,
}
