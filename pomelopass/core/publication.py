"""Define the newest published weights of a trainer."""

import dataclasses

from . import rollout

__all__ = ['Publication']


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """The published target and the version of its row."""

    target: rollout.Target
    row_version: int
