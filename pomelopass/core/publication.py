"""Describe the newest weights that a trainer has published."""

import dataclasses

from . import rollout

__all__ = ['Publication']


@dataclasses.dataclass(frozen=True, slots=True)
class Publication:
    """Hold the target and the version of the row that names it."""

    target: rollout.Target
    row_version: int
