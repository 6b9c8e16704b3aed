"""Targets and the values measured against them."""

import dataclasses

__all__ = ['Outcome', 'Target']


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """An upper bound of a value, or a lower one with at_least."""

    name: str
    bound: float
    unit: str
    at_least: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """A measured value, with the baselines of the same run."""

    target: Target
    value: float
    baselines: dict[str, float] = dataclasses.field(default_factory=dict)

    @property
    def met(self) -> bool:
        """Return whether the value is within the bound."""
        if self.target.at_least:
            return self.value >= self.target.bound
        return self.value <= self.target.bound
