"""Define a generated sample and the weights that produced it."""

import dataclasses

__all__ = ['Sample', 'Segment', 'add_tokens', 'get_oldest_version']


@dataclasses.dataclass(slots=True)
class Segment:
    """A run of consecutive tokens from one weight version."""

    version: int
    tokens: int


@dataclasses.dataclass(slots=True)
class Sample:
    """A complete sample with its provenance."""

    id: str
    request_id: str
    text: str
    segments: list[Segment]
    score: float
    endpoints: list[str]


def add_tokens(segments: list[Segment], version: int, tokens: int = 1) -> None:
    """Add tokens with the version that the engine reported for them."""
    if segments and segments[-1].version == version:
        segments[-1].tokens += tokens
    else:
        segments.append(Segment(version, tokens))


def get_oldest_version(sample: Sample) -> int:
    """Return the oldest version that produced a token of the sample."""
    return min(segment.version for segment in sample.segments)
