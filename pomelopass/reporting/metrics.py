"""Define and render the Prometheus metrics of an instance."""

import aioprometheus
from aioprometheus import renderer

__all__ = ['Metrics', 'render_metrics']

LATENCY_BUCKETS_S = (0.002, 0.008, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 60.0)


COUNTERS = {
    'requests': ('pomelopass_requests_total', 'Requests by service, outcome.'),
    'retries': ('pomelopass_retries_total', 'Retries by service.'),
    'refusals': ('pomelopass_refusals_total', 'Refusals by code.'),
    'samples': ('pomelopass_samples_total', 'Samples made, by trainer.'),
    'batches': ('pomelopass_batches_total', 'Batches given, by trainer.'),
    'ejections': ('pomelopass_ejections_total', 'Ejections by pool.'),
    'bad_frames': ('pomelopass_bad_frames_total', 'Peer frames dropped.'),
}


class Metrics:
    """Metrics of one instance, in a registry of its own."""

    requests: aioprometheus.Counter
    retries: aioprometheus.Counter
    refusals: aioprometheus.Counter
    samples: aioprometheus.Counter
    batches: aioprometheus.Counter
    ejections: aioprometheus.Counter
    bad_frames: aioprometheus.Counter

    def __init__(self, instance: str):
        self.registry = aioprometheus.Registry()
        common = {
            'const_labels': {'instance': instance},
            'registry': self.registry,
        }
        for attribute, (name, help_text) in COUNTERS.items():
            counter = aioprometheus.Counter(name, help_text, **common)
            setattr(self, attribute, counter)
        self.latency = aioprometheus.Histogram(
            'pomelopass_request_seconds',
            'Time from request to whole reply.',
            buckets=list(LATENCY_BUCKETS_S),
            **common,
        )
        self.config_version = aioprometheus.Gauge(
            'pomelopass_config_version',
            'Configuration version in force.',
            **common,
        )


def render_metrics(metrics: Metrics) -> tuple[bytes, tuple]:
    """Return all metrics in the text format, and the reply headers."""
    content, headers = renderer.render(metrics.registry, ['text/plain'])
    return content, tuple(
        (name.lower(), value) for name, value in headers.items()
    )
