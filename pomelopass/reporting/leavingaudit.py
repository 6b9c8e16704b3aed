"""Find requests to endpoints that had said that they leave."""

from collections import abc
import dataclasses

from . import savedlogs

__all__ = ['LateRequests', 'find_late_requests']

# An instance may send to an endpoint for this long after it learned of it.
ALLOWED_MS = 2000.0


@dataclasses.dataclass(frozen=True, slots=True)
class LateRequests:
    """Requests that one instance sent to an endpoint too late."""

    instance: str
    endpoint: str
    ids: tuple[str, ...]
    first_sent_ms: float
    last_sent_ms: float


def find_late_requests(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[LateRequests]:
    """Return late requests by instance and endpoint.

    The lines of the event endpoint-answered are needed, which instances log
    at the level DEBUG. A restart of either side ends what was learned.
    """
    learned_ms_by_pair: dict[tuple[str, str], float] = {}
    late_by_pair: dict[tuple[str, str], list[tuple[str, float]]] = {}
    for line in lines:
        if line.utc_ms is None:
            continue
        if line.event == 'started':
            _forget(learned_ms_by_pair, instance=line.instance)
        elif (
            line.event == 'endpoint-changed'
            and line.fields['change'] == 'restarted'
        ):
            _forget(learned_ms_by_pair, endpoint=str(line.fields['endpoint']))
        elif line.event == 'endpoint-answered':
            _apply_answer(line, learned_ms_by_pair, late_by_pair)
    return [
        LateRequests(
            instance,
            endpoint,
            tuple(request_id for request_id, _ in late),
            min(sent_ms for _, sent_ms in late),
            max(sent_ms for _, sent_ms in late),
        )
        for (instance, endpoint), late in sorted(late_by_pair.items())
    ]


def _forget(
    learned_ms_by_pair: dict[tuple[str, str], float],
    instance: str | None = None,
    endpoint: str | None = None,
) -> None:
    for pair in list(learned_ms_by_pair):
        if pair[0] == instance or pair[1] == endpoint:
            del learned_ms_by_pair[pair]


def _apply_answer(
    line: savedlogs.LogLine,
    learned_ms_by_pair: dict[tuple[str, str], float],
    late_by_pair: dict[tuple[str, str], list[tuple[str, float]]],
) -> None:
    sent_ms = line.utc_ms - float(str(line.fields['took_ms']))
    # Without a status and not run, nothing reached the endpoint.
    reached = line.fields['status'] or not line.fields['not_run']
    # To the endpoint, a request over a peer's links is one of that peer.
    senders = {line.instance, str(line.fields.get('peer') or line.instance)}
    for sender in sorted(senders):
        pair = (sender, str(line.fields['endpoint']))
        learned_ms = learned_ms_by_pair.get(pair)
        is_late = learned_ms is not None and sent_ms > learned_ms + ALLOWED_MS
        if is_late and reached:
            late = late_by_pair.setdefault(pair, [])
            late.append((str(line.fields['id']), sent_ms))
        if line.fields.get('leaving') and learned_ms is None:
            learned_ms_by_pair[pair] = line.utc_ms
