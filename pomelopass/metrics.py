"""Count what an instance does, in Prometheus' format."""

import aioprometheus
from aioprometheus import renderer

__all__ = ['Metrics', 'render_metrics']

LATENCY_BUCKETS_S = (0.002, 0.008, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 60.0)


class Metrics:
    """Hold the metrics of one instance in a registry of its own."""

    def __init__(self, instance: str):
        self.registry = aioprometheus.Registry()
        labels = {'instance': instance}

        def counter(name: str, doc: str) -> aioprometheus.Counter:
            return aioprometheus.Counter(
                name, doc, const_labels=labels, registry=self.registry
            )

        self.requests = counter(
            'pomelopass_requests_total', 'Requests by service and verdict.'
        )
        self.retries = counter(
            'pomelopass_retries_total', 'Retries by service.'
        )
        self.refusals = counter(
            'pomelopass_refusals_total', 'Refusals by code.'
        )
        self.samples = counter(
            'pomelopass_samples_total', 'Samples by trainer and outcome.'
        )
        self.batches = counter(
            'pomelopass_batches_total', 'Batches handed over by trainer.'
        )
        self.ejections = counter(
            'pomelopass_ejections_total', 'Endpoints ejected by pool.'
        )
        self.bad_frames = counter(
            'pomelopass_bad_frames_total', 'Peer frames that were dropped.'
        )
        self.latency = aioprometheus.Histogram(
            'pomelopass_request_seconds',
            'Time from request to whole reply.',
            const_labels=labels,
            registry=self.registry,
            buckets=list(LATENCY_BUCKETS_S),
        )
        self.config_version = aioprometheus.Gauge(
            'pomelopass_config_version',
            'Configuration version in force.',
            const_labels=labels,
            registry=self.registry,
        )


def render_metrics(metrics: Metrics) -> tuple[bytes, tuple]:
    """Return the text of all metrics and its headers."""
    content, headers = renderer.render(metrics.registry, ['text/plain'])
    return content, tuple((k.lower(), v) for k, v in headers.items())
