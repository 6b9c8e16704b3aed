"""Define the state of a pool on one instance."""

from __future__ import annotations

import asyncio
import dataclasses

from .. import policy
from ..core import admission
from ..core import affinity
from ..core import health
from ..core import length
from ..core import retry

__all__ = ['PoolState']


@dataclasses.dataclass(slots=True)
class PoolState:
    """Queue, endpoint health, estimates and retry budgets of a pool."""

    name: str
    choose: policy.Policy
    admission: admission.AdmissionState
    lengths: length.LengthState = dataclasses.field(
        default_factory=length.LengthState
    )
    affinity: affinity.AffinityState = dataclasses.field(
        default_factory=affinity.AffinityState
    )
    health_by_key: dict[str, health.EndpointHealth] = dataclasses.field(
        default_factory=dict
    )
    budget_by_service: dict[str, retry.RetryBudget] = dataclasses.field(
        default_factory=dict
    )
    waiter_by_id: dict[str, asyncio.Future] = dataclasses.field(
        default_factory=dict
    )
    avoid_by_id: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    prefix_by_id: dict[str, str] = dataclasses.field(default_factory=dict)
    last_drain_ms: float = 0.0
