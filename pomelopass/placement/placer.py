"""Choose endpoints by time, way and the price of bytes between zones."""

import asyncio
from collections import abc
import dataclasses

from . import cost as costs
from . import latency
from ..registry import choice
from ..registry import endpoint as endpoints
from . import runs
from . import sizes
from . import spill
from . import traffic

__all__ = ['CallWork', 'ItemWork', 'Placer']

# An own zone that got no request for the duration of a slow phase (600 ms, as
# noisy neighbours cause) is probed, by one request of this many at most.
PROBE_INTERVAL_MS = 600.0
REQUESTS_PER_PROBE = 10
# Requests that measure the pace of other zones (scouts) are sent at most this
# often, and are a fiftieth of the requests once that pace is known.
SCOUT_INTERVAL_MS = 600.0
REQUESTS_PER_SCOUT = 50
# An older pace is measured again.
PACE_TTL_MS = 5000.0
MAX_SERVICES = 256

UNPAID_REASONS = (spill.Reason.NO_ENDPOINT, spill.Reason.SCOUT)
GetCarrierZone = abc.Callable[[str], str | None]


@dataclasses.dataclass(frozen=True, slots=True)
class CallWork:
    """What is known of a request before it is sent."""

    service: str
    route: str
    body_bytes: int
    # How long an attempt has been under way, if this one is to be a hedge.
    hedged_ms: float | None = None
    # Where the prompt of a resumed text is cached, and how long it took.
    cache_zone: str | None = None
    prompt_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class ItemWork:
    """What is known of an item before a run of it."""

    service: str
    model: str
    min_version: int
    body_bytes: int
    expected_length: float
    events_done: int = 0
    waited_ms: float = 0.0
    ahead: int = 0
    cache_zone: str | None = None
    prompt_ms: float = 0.0


@dataclasses.dataclass(slots=True)
class _Service:
    """Whether work of a service leaves the zone, and since when."""

    is_away: bool = False
    sent_away: int = 0
    own_at: float = float('-inf')
    # Requests since the last scout.
    since_scout: int = 0
    scouted_at: float = float('-inf')


class Placer:
    """Placement of one instance; without a price, choices ignore zone costs.

    It uses its own requests and the reports of endpoints, and calls no peer.
    """

    def __init__(self, own_zone: str, transfer_ms_per_mb: float | None = None):
        self.own_zone = own_zone
        self.transfer_ms_per_mb = transfer_ms_per_mb
        self.latencies = latency.ZoneLatencies(own_zone)
        self.sizes = sizes.Sizes()
        self.traffic = traffic.ZoneTraffic()
        # Zone of the peer that carries the calls to an endpoint, if any.
        self.get_carrier_zone: GetCarrierZone = lambda endpoint_id: None
        self.by_service: dict[str, _Service] = {}

    @property
    def is_enabled(self) -> bool:
        """Return whether the bytes between zones have a price."""
        return self.transfer_ms_per_mb is not None

    def choose_for_call(
        self,
        states: abc.Iterable[endpoints.EndpointState],
        avoid: abc.Container[str],
        work: CallWork,
        now: float,
    ) -> endpoints.EndpointState | None:
        """Return the endpoint for a request, or None if there is none."""
        states = list(states)
        if not self.is_enabled:
            return choice.choose_for_call(states, avoid, self.own_zone, now)
        candidates = self.weigh_call(states, avoid, work, now)
        if not candidates:
            return choice.choose_for_call(states, avoid, self.own_zone, now)
        service = self._get_service(work.service)
        decision = spill.decide(candidates, service.is_away)
        if work.hedged_ms is not None:
            return self._choose_hedge(decision, work)
        decision = self._probe(decision, candidates, service, now)
        decision = _scout(decision, candidates, work.route, service, now)
        self._record(decision, work.service, service, now)
        return decision.candidate.state

    def weigh_call(
        self,
        states: list[endpoints.EndpointState],
        avoid: abc.Container[str],
        work: CallWork,
        now: float,
    ) -> list[spill.Candidate]:
        """Return the endpoints that may take a request, with their costs."""
        typical_ms_by_zone = _get_typical_ms(states, work.route, now)
        moved_mb = self.sizes.get_request_mb(work.route, work.body_bytes)
        candidates = []
        for state in states:
            if state.endpoint.id in avoid or state.is_backing_off(now):
                continue
            way = self.get_way(state)
            zone = state.endpoint.availability_zone
            cost = costs.get_request_cost(
                state,
                work.route,
                typical_ms_by_zone[zone],
                way,
                moved_mb * (self.transfer_ms_per_mb or 0.0),
                now,
            )
            if work.cache_zone not in (None, zone):
                cost = dataclasses.replace(cost, prompt_ms=work.prompt_ms)
            candidates.append(spill.Candidate(state, way, cost))
        return candidates

    def choose_for_run(
        self,
        states: abc.Iterable[endpoints.EndpointState],
        avoid: abc.Container[str],
        work: ItemWork,
        now: float,
    ) -> runs.RunDecision:
        """Return the engine for a run, or how long it waits for its zone."""
        fit = choice.find_for_run(
            states, avoid, work.model, work.min_version, now
        )
        candidates = self.weigh_run(fit, work, now)
        free = [
            item
            for item in candidates
            if choice.get_free_slots(item.state) > 0
        ]
        busy = [
            item
            for item in candidates
            if choice.get_free_slots(item.state) <= 0
        ]
        service = self._get_service(work.service)
        return runs.decide_run(
            free, busy, self._make_run_work(work), service.is_away
        )

    def record_run(
        self, decision: spill.Decision, work: ItemWork, now: float
    ) -> None:
        """Record that a run begins as decided."""
        service = self._get_service(work.service)
        self._record(decision, work.service, service, now)

    def pays_to_move(
        self,
        here: endpoints.EndpointState,
        there: endpoints.EndpointState,
        work: ItemWork,
        now: float,
    ) -> bool:
        """Return whether a run that is slow should change its zone."""
        zones = {state.endpoint.availability_zone for state in (here, there)}
        if not self.is_enabled or len(zones) == 1:
            return True
        items = self.weigh_run([here, there], work, now)
        return runs.pays_to_move(items[0], items[1])

    def weigh_run(
        self,
        states: list[endpoints.EndpointState],
        work: ItemWork,
        now: float,
    ) -> list[spill.Candidate]:
        """Return engines with the cost of the rest of an item."""
        run_work = self._make_run_work(work)
        newest = max(
            (state.get_version(work.model) for state in states), default=0
        )
        typical_ms_by_zone = _get_typical_ms(states, runs.ITEM_KIND, now)
        candidates = []
        for state in states:
            way = self.get_way(state)
            typical_ms = typical_ms_by_zone[state.endpoint.availability_zone]
            cost = runs.get_run_cost(
                state, run_work, way, newest, typical_ms, now
            )
            candidates.append(spill.Candidate(state, way, cost))
        return candidates

    def is_away(self, service: str) -> bool:
        """Return whether work of a service leaves the zone at present."""
        return service in self.get_away_services()

    def get_away_services(self) -> list[str]:
        """Return the services whose work leaves the zone at present."""
        return [
            name for name, state in self.by_service.items() if state.is_away
        ]

    def set_away(self, service: str) -> None:
        """Set that work of a service leaves the zone at present."""
        self._get_service(service).is_away = True

    def get_way(self, state: endpoints.EndpointState) -> costs.Way:
        """Return the way to an endpoint, over a peer if one carries it."""
        zone = state.endpoint.availability_zone
        carrier_zone = self.get_carrier_zone(state.endpoint.id)
        if carrier_zone in (None, self.own_zone, zone):
            return costs.Way(
                self.latencies.get_way(zone), int(zone != self.own_zone)
            )
        first = self.latencies.get_way(carrier_zone)
        # The way between two other zones is not measured; the way from
        # here to either of them is of its kind.
        second = max(
            (first, self.latencies.get_way(zone)),
            key=lambda way: way.round_trip_ms,
        )
        both = latency.Latency(
            first.round_trip_ms + second.round_trip_ms,
            first.spread_ms + second.spread_ms,
        )
        return costs.Way(both, 2)

    def record_answer(
        self,
        state: endpoints.EndpointState,
        work: CallWork,
        took_ms: float | None,
        answer_bytes: int,
    ) -> None:
        """Record a whole answer to a request; None if it failed."""
        if not self.is_enabled:
            return
        if took_ms is not None:
            now = asyncio.get_running_loop().time()
            endpoints.record_pace(state, work.route, took_ms, now)
            endpoints.record_pace(state, costs.ALL_KINDS, took_ms, now)
        self.sizes.record_answer(work.route, answer_bytes)
        self._record_bytes(work.service, state, work.body_bytes + answer_bytes)

    def record_events(
        self,
        state: endpoints.EndpointState,
        service: str,
        pace_ms: float | None,
        count: int,
    ) -> None:
        """Record the pace and the bytes of events of an item."""
        if not self.is_enabled:
            return
        if pace_ms is not None:
            now = asyncio.get_running_loop().time()
            endpoints.record_pace(state, runs.ITEM_KIND, pace_ms, now)
        self._record_bytes(service, state, count)

    def _make_run_work(self, work: ItemWork) -> runs.RunWork:
        events_left = self.sizes.count_events_left(
            work.model, work.expected_length, work.events_done
        )
        moved_mb = self.sizes.get_run_mb(
            work.model, work.body_bytes, events_left
        )
        return runs.RunWork(
            work.model,
            events_left,
            moved_mb * (self.transfer_ms_per_mb or 0.0),
            work.waited_ms,
            work.ahead,
            work.cache_zone,
            work.prompt_ms,
        )

    def _choose_hedge(
        self, decision: spill.Decision, work: CallWork
    ) -> endpoints.EndpointState | None:
        """Return the endpoint of a hedge if it pays.

        An attempt that is slow is expected to take as long again as it has
        taken so far.
        """
        candidate = decision.candidate
        if not candidate.way.crossings:
            return candidate.state
        if candidate.cost.total_ms >= work.hedged_ms:
            return None
        self.traffic.record_choice(
            work.service,
            candidate.state.endpoint.availability_zone,
            decision.reason,
        )
        return candidate.state

    def _probe(
        self,
        decision: spill.Decision,
        candidates: list[spill.Candidate],
        service: _Service,
        now: float,
    ) -> spill.Decision:
        """Send a request to the own zone if none went there for long.

        An endpoint that gets no request is never seen to be fast again.
        """
        own = [item for item in candidates if not item.way.crossings]
        if not decision.candidate.way.crossings or not own:
            return decision
        best = min(own, key=spill.rank)
        is_due = (now - service.own_at) * 1000 >= PROBE_INTERVAL_MS
        if (
            not is_due
            or service.sent_away < REQUESTS_PER_PROBE
            or best.state.in_flight >= best.state.endpoint.slots
        ):
            return decision
        return spill.Decision(best, spill.Reason.PROBE)

    def _record(
        self,
        decision: spill.Decision,
        name: str,
        service: _Service,
        now: float,
    ) -> None:
        if decision.candidate.way.crossings:
            service.sent_away += 1
            # For these reasons work leaves the zone even if it costs more.
            if decision.reason not in UNPAID_REASONS:
                service.is_away = True
            self.traffic.record_choice(
                name,
                decision.candidate.state.endpoint.availability_zone,
                decision.reason,
            )
            return
        service.own_at = now
        service.sent_away = 0
        if decision.reason is not spill.Reason.PROBE:
            service.is_away = False

    def _record_bytes(
        self, service: str, state: endpoints.EndpointState, count: int
    ) -> None:
        crossings = self.get_way(state).crossings
        if crossings:
            self.traffic.record_bytes(
                service, state.endpoint.availability_zone, count * crossings
            )

    def _get_service(self, name: str) -> _Service:
        if name not in self.by_service:
            if len(self.by_service) >= MAX_SERVICES:
                del self.by_service[next(iter(self.by_service))]
            self.by_service[name] = _Service()
        return self.by_service[name]


def _get_typical_ms(
    states: list[endpoints.EndpointState], kind: str, now: float
) -> dict[str, float]:
    """Return the pace assumed for endpoints that did no such work, by zone."""
    states_by_zone: dict[str, list[endpoints.EndpointState]] = {}
    for state in states:
        zone = state.endpoint.availability_zone
        states_by_zone.setdefault(zone, []).append(state)
    typical_ms = costs.get_typical_ms(states, kind, now)
    return {
        zone: costs.get_typical_ms(in_zone, kind, now, typical_ms)
        for zone, in_zone in states_by_zone.items()
    }


def _scout(
    decision: spill.Decision,
    candidates: list[spill.Candidate],
    kind: str,
    service: _Service,
    now: float,
) -> spill.Decision:
    """Send a request to another zone whose pace is unknown or old.

    Only where leaving would pay if the zone took no time at all. A zone that
    failed is scouted after its backoff, else it would never be used again.
    """
    service.since_scout += 1
    if (now - service.scouted_at) * 1000 < SCOUT_INTERVAL_MS:
        return decision
    limit_ms = decision.candidate.cost.total_ms
    for items in _get_others(candidates).values():
        age_ms = _get_age_ms(items, kind, now)
        best = min(items, key=spill.rank)
        has_failed = best.cost.risk_ms > 0.0
        is_known = age_ms < float('inf') and not has_failed
        interval = REQUESTS_PER_SCOUT if is_known else REQUESTS_PER_PROBE
        if (
            (has_failed or age_ms >= PACE_TTL_MS)
            and service.since_scout >= interval
            and best.cost.leaving_ms < limit_ms
        ):
            service.since_scout = 0
            service.scouted_at = now
            return spill.Decision(best, spill.Reason.SCOUT)
    return decision


def _get_others(
    candidates: list[spill.Candidate],
) -> dict[str, list[spill.Candidate]]:
    by_zone: dict[str, list[spill.Candidate]] = {}
    for item in candidates:
        if item.way.crossings:
            zone = item.state.endpoint.availability_zone
            by_zone.setdefault(zone, []).append(item)
    return by_zone


def _get_age_ms(items: list[spill.Candidate], kind: str, now: float) -> float:
    """Return the age of the newest pace of a kind of work."""
    recorded_at = max(
        (
            item.state.pace_by_kind[kind].recorded_at
            for item in items
            if kind in item.state.pace_by_kind
        ),
        default=float('-inf'),
    )
    return (now - recorded_at) * 1000
