"""Export metrics of an entry instance in the Prometheus format."""

import asyncio

import aioprometheus
from aioprometheus import renderer

from .. import message
from ..reporting import logevents

__all__ = ['Telemetry']

LATENCY_BUCKETS_S = (0.01, 0.03, 0.1, 0.2, 0.4, 0.8, 1.5, 3.0, 7.5, 15.0)
METRICS_PATH = '/metrics'
OUTCOME_FIELDS = ('outcome', 'reason', 'why', 'change')
MAX_LABEL_LENGTH = 40


class Telemetry:
    """Metrics of one instance, updated from its events.

    Each logged event is counted by its kind and its outcome, so that logs
    and metrics always agree.
    """

    def __init__(self, instance: str):
        self.registry = aioprometheus.Registry()
        common = {
            'const_labels': {'instance': instance},
            'registry': self.registry,
        }
        self.events = aioprometheus.Counter(
            'pomelopass_events_total', 'Events by kind and outcome.', **common
        )
        self._make_time_metrics(common)
        self._make_zone_metrics(common)
        self._make_state_metrics(common)
        self._make_client_metrics(common)

    def _make_time_metrics(self, common: dict[str, object]) -> None:
        self.request_seconds = aioprometheus.Histogram(
            'pomelopass_request_seconds',
            'Time from a request to its end, by outcome.',
            buckets=list(LATENCY_BUCKETS_S),
            **common,
        )
        self.run_seconds = aioprometheus.Histogram(
            'pomelopass_run_seconds',
            'Time of one run of an item at an engine, by outcome.',
            buckets=list(LATENCY_BUCKETS_S),
            **common,
        )
        self.wait_seconds = aioprometheus.Histogram(
            'pomelopass_run_wait_seconds',
            'Time that an item waited for an engine.',
            buckets=list(LATENCY_BUCKETS_S),
            **common,
        )

    def _make_zone_metrics(self, common: dict[str, object]) -> None:
        self.zone_left = aioprometheus.Counter(
            'pomelopass_zone_left_total',
            'Requests and runs that left the availability zone, by reason.',
            **common,
        )
        self.zone_bytes = aioprometheus.Counter(
            'pomelopass_zone_left_bytes_total',
            'Bytes that crossed zone boundaries.',
            **common,
        )

    def _make_state_metrics(self, common: dict[str, object]) -> None:
        self.ages = aioprometheus.Gauge(
            'pomelopass_view_age_seconds',
            'Time since the table service last told of a table.',
            **common,
        )
        self.open = aioprometheus.Gauge(
            'pomelopass_open', 'Things at work now, by kind.', **common
        )

    def _make_client_metrics(self, common: dict[str, object]) -> None:
        self.connections = aioprometheus.Gauge(
            'pomelopass_caller_connections',
            'Connections of callers since the start, by outcome.',
            **common,
        )
        self.refused_keys = aioprometheus.Counter(
            'pomelopass_refused_keys_total',
            'Requests without a valid key, as far as they are logged.',
            **common,
        )
        self.limited = aioprometheus.Gauge(
            'pomelopass_clients_limited',
            'Clients above a limit since the start, by what became of them.',
            **common,
        )
        self.client_bytes = aioprometheus.Gauge(
            'pomelopass_client_bytes',
            'Bytes of bodies and frames that are held now.',
            **common,
        )

    def count_event(self, event: logevents.Event) -> None:
        """Update the metrics with an event."""
        labels = {'kind': event.kind}
        for name in OUTCOME_FIELDS:
            value = getattr(event, name, None)
            if isinstance(value, str):
                labels['outcome'] = value[:MAX_LABEL_LENGTH]
                break
        self.events.inc(labels)
        if isinstance(event, logevents.RequestEnded):
            outcome = {'outcome': event.outcome}
            self.request_seconds.observe(outcome, event.took_ms / 1000)
        elif isinstance(event, logevents.KeysRefused):
            self.refused_keys.add(
                {'status': str(event.status)}, event.refusals
            )
        elif isinstance(event, logevents.ItemRun):
            outcome = {'outcome': event.outcome}
            self.run_seconds.observe(outcome, event.took_ms / 1000)
            self.wait_seconds.observe({}, event.waited_ms / 1000)
        elif isinstance(event, logevents.ZoneLeft):
            pair = {'service': event.service, 'zone': event.zone}
            self.zone_left.add({**pair, 'reason': event.why}, event.left)
            self.zone_bytes.add(pair, event.bytes)

    def wrap(self, write_event: logevents.WriteEvent) -> logevents.WriteEvent:
        """Return a function that counts an event, then writes it."""

        def write(event: logevents.Event) -> None:
            self.count_event(event)
            write_event(event)

        return write

    async def handle(self, request: message.Request) -> message.Reply:
        """Reply with all metrics in the text format."""
        if request.target.partition('?')[0] != METRICS_PATH:
            return message.Reply(404, (), b'')
        # Rendering time grows with the label sets: let other tasks run first.
        await asyncio.sleep(0)
        content, headers = renderer.render(self.registry, ['text/plain'])
        reply_headers = tuple(
            (name.lower(), value) for name, value in headers.items()
        )
        return message.Reply(200, reply_headers, content)
