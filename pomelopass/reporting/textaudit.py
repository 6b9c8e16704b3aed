"""Find texts that endpoints of several software versions wrote together."""

from collections import abc
import dataclasses

from . import savedlogs

__all__ = ['JoinedText', 'TextCount', 'find_joined_texts']


@dataclasses.dataclass(frozen=True, slots=True)
class JoinedText:
    """A text or stream that went on at another software version."""

    id: str
    began_at: str
    software: str
    continued_at: str
    continued_software: str
    resumed_after: str


@dataclasses.dataclass(frozen=True, slots=True)
class TextCount:
    """Texts that were resumed, and those among them that were joined."""

    resumed: int
    joined: list[JoinedText]


@dataclasses.dataclass(frozen=True, slots=True)
class _Start:
    endpoint: str
    software: str


def find_joined_texts(lines: abc.Iterable[savedlogs.LogLine]) -> TextCount:
    """Return the texts that no single software version wrote.

    The lines of the event endpoint-answered are needed, which instances log
    at the level DEBUG; they must be in the order of their times.
    """
    start_by_id: dict[str, _Start] = {}
    resumed_ids = set()
    joined = []
    for line in lines:
        if not _has_events(line):
            continue
        # A caller that resumes a stream names the id that began it.
        text_id = str(line.fields.get('resumes') or line.fields['id'])
        answer = _Start(
            str(line.fields['endpoint']), str(line.fields.get('software', ''))
        )
        resumed_after = line.fields.get('resumed_after')
        start = start_by_id.get(text_id)
        if resumed_after is None or start is None:
            start_by_id[text_id] = answer
            continue
        if line.event == 'item-run':
            # The answer of this run has been compared.
            continue
        resumed_ids.add(text_id)
        if start.software != answer.software:
            joined.append(
                JoinedText(
                    text_id,
                    start.endpoint,
                    start.software,
                    answer.endpoint,
                    answer.software,
                    str(resumed_after),
                )
            )
    return TextCount(len(resumed_ids), joined)


def _has_events(line: savedlogs.LogLine) -> bool:
    # The end of a run also tells where its text began, should the line of the
    # answer be lost.
    if line.event == 'item-run':
        return bool(line.fields['events'])
    return line.event == 'endpoint-answered' and line.fields['status'] == 200
