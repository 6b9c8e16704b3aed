"""Describe a generated sample and the weights that produced it."""

import dataclasses

__all__ = ['Sample', 'Segment', 'add_tokens', 'get_oldest_version']


@dataclasses.dataclass(slots=True)
class Segment:
    """Count tokens in a row that one weight version produced."""

    version: int
    tokens: int


@dataclasses.dataclass(slots=True)
class Sample:
    """Hold a whole sample with its provenance."""

    id: str
    request_id: str
    text: str
    segments: list[Segment]
    score: float
    endpoints: list[str]


def add_tokens(segments: list[Segment], version: int, tokens: int = 1) -> None:
    """Book tokens under the version that the engine reported for them."""
    if segments and segments[-1].version == version:
        segments[-1].tokens += tokens
    else:
        segments.append(Segment(version, tokens))


def get_oldest_version(one: Sample) -> int:
    """Return the oldest version that produced a token of the sample."""
    return min(part.version for part in one.segments)
