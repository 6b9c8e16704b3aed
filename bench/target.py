"""Describe a target and what was measured against it."""

import dataclasses

__all__ = ['Outcome', 'Target']


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """Hold a stated bound; the value must not pass it."""

    name: str
    bound: float
    unit: str
    at_least: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """Hold a measured value, with the baselines of the same run."""

    target: Target
    value: float
    baselines: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def met(self) -> bool:
        """Say whether the value keeps the bound."""
        if self.target.at_least:
            return self.value >= self.target.bound
        return self.value <= self.target.bound
