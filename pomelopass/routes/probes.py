"""Serve liveness and readiness probes and metrics."""

import re

from .. import message
from ..core import stopping
from ..reporting import metrics
from ..reporting import problemdetails
from ..running import context as contexts

__all__ = ['ROUTES']


async def serve_livez(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return success while the event loop runs."""
    return problemdetails.make_json_reply({'status': 'live'})


async def serve_readyz(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return whether the instance is ready for requests."""
    running = context.stopping.phase == stopping.Phase.RUNNING
    ready = running and context.configuration is not None
    body = {
        'status': 'ready' if ready else 'not-ready',
        'phase': context.stopping.phase.value,
        'configuration_in_force': context.configuration is not None,
    }
    return problemdetails.make_json_reply(body, 200 if ready else 503)


async def serve_metrics(
    context: contexts.Context, request: message.Request, match: re.Match
) -> message.Reply:
    """Return all metrics as text."""
    body, headers = metrics.render_metrics(context.metrics)
    return message.Reply(200, headers, body)


ROUTES = (
    (('GET',), r'/livez', serve_livez),
    (('GET',), r'/readyz', serve_readyz),
    (('GET',), r'/metrics', serve_metrics),
)
