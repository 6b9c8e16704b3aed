"""Record when instances are disturbed, to judge what they must do."""

from collections import abc
import dataclasses
import math
import time

__all__ = ['Disturbance', 'find_calm']

# An instance must keep its bounds after it was undisturbed for so long.
STABLE_S = 3.0
STEP_S = 0.05


@dataclasses.dataclass(slots=True)
class Disturbance:
    """Time in which an instance, or all without a name, are disturbed.

    Times are UTC in seconds since 1970.
    """

    name: str | None
    begun_at: float
    ended_at: float = math.inf

    def end(self) -> None:
        """Record that the disturbance ends now."""
        self.ended_at = time.time()


def find_calm(
    disturbances: abc.Iterable[Disturbance],
    name: str,
    begin: float,
    end: float,
) -> float | None:
    """Return a time in between at which an instance had been calm, or None."""
    relevant = [
        disturbance
        for disturbance in disturbances
        if disturbance.name in (None, name)
    ]
    moment = begin
    while moment < end:
        if not any(
            disturbance.begun_at <= moment
            and disturbance.ended_at >= moment - STABLE_S
            for disturbance in relevant
        ):
            return moment
        moment += STEP_S
    return None
