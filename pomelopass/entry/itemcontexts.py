"""Build the context that the items of an owned job share."""

import asyncio
from collections import abc

from ..jobs import itemcontext
from ..jobs import job as jobs
from ..jobs import jobtable
from ..jobs import rewardgate
from ..jobs import schedule
from ..platform import names
from ..requests import call as calls
from ..requests import forward
from ..requests import routes
from . import tableclock
from . import view as views

__all__ = ['ItemContexts']


class ItemContexts:
    """Factory of item contexts from the components of an instance."""

    def __init__(
        self,
        get_job_retention_ms: abc.Callable[[], float],
        view: views.View,
        table: tableclock.TableClock,
        scheduler: schedule.Scheduler,
        port: calls.EndpointPort,
        forwarder: forward.Forwarder,
        gate: rewardgate.RewardGate,
        is_configuration_newer: abc.Callable[[int], bool],
    ):
        self.get_job_retention_ms = get_job_retention_ms
        self.view = view
        self.table = table
        self.scheduler = scheduler
        self.port = port
        self.forwarder = forwarder
        self.gate = gate
        self.is_configuration_newer = is_configuration_newer

    def make(
        self, submission: jobs.Submission, stored: jobtable.StoredJob
    ) -> itemcontext.ItemContext | None:
        """Return the context of a job, or None if it can't run yet.

        The job may have been accepted under a configuration that this
        instance does not have yet.
        """
        record = stored.record
        if self.view.configuration is None:
            return None
        if not self.is_configuration_newer(stored.version):
            return None
        route = self._find_route(submission)
        ttl_ms = self.get_job_retention_ms()
        deadline_ms = 0.0
        if route is not None:
            ttl_ms = route.item_ttl_ms or ttl_ms
            deadline_ms = route.job_deadline_ms
        age_ms = self.table.get_now_ms() - record.accepted_ms
        now = asyncio.get_running_loop().time()
        return itemcontext.ItemContext(
            submission=submission,
            get_route=lambda: self._find_route(submission),
            expires_at=now + (ttl_ms - age_ms) / 1000,
            deadline_ms=record.accepted_ms + deadline_ms,
            scheduler=self.scheduler,
            port=self.port,
            forwarder=self.forwarder,
            gate=self.gate,
            get_configuration=lambda: self.view.configuration,
            version_field=names.WEIGHT_VERSION,
            rng=self.forwarder.rng,
            write_event=self.forwarder.write_event,
            remaining_by_group={},
            memory=self.forwarder.memory,
        )

    def _find_route(self, submission: jobs.Submission) -> routes.Route | None:
        configuration = self.view.configuration
        if configuration is None:
            return None
        return routes.find_route(
            configuration, submission.host, submission.target
        )
