"""Find texts that endpoints of several software versions wrote together."""

from collections import abc
import dataclasses

from . import savedlogs

__all__ = ['JoinedText', 'TextCount', 'find_joined_texts']


@dataclasses.dataclass(frozen=True, slots=True)
class JoinedText:
    """A text or stream that went on at a software version that had not it."""

    id: str
    software: tuple[str, ...]
    continued_at: str
    continued_software: str
    resumed_after: str


@dataclasses.dataclass(frozen=True, slots=True)
class TextCount:
    """Texts that were resumed, and those among them that were joined."""

    resumed: int
    joined: list[JoinedText]


@dataclasses.dataclass(slots=True)
class _Writers:
    """Software versions that began a text, and how far each came.

    A text may begin again at another version, and a new owner may resume
    the part that an earlier one had stored.
    """

    events_by_software: dict[str, int] = dataclasses.field(
        default_factory=dict
    )
    # Runs without a line on their end, such as those of an instance that died.
    running: set[str] = dataclasses.field(default_factory=set)

    def is_by_others(self, software: str, event: int) -> bool:
        """Return whether only other versions can have written the event.

        An event that no version is known to have written says nothing: lines
        of the logs may be lost.
        """
        writers = {
            name
            for name, reached in self.events_by_software.items()
            if event <= reached
        } | self.running
        return bool(writers) and software not in writers


def find_joined_texts(
    lines: abc.Collection[savedlogs.LogLine],
) -> TextCount:
    """Return the texts that went on at a version that had not begun them.

    The lines of the event endpoint-answered are needed, which instances log
    at the level DEBUG; they must be in the order of their times.
    """
    fingerprint_by_id = _find_fingerprints(lines)
    writers_by_id: dict[str, _Writers] = {}
    resumed_ids = set()
    joined = []
    for line in lines:
        if not _has_events(line):
            continue
        request_id = str(line.fields['id'])
        # A caller that resumes a stream may name the id that began it, or
        # sends the same content again.
        text_id = str(
            line.fields.get('resumes')
            or fingerprint_by_id.get(request_id)
            or request_id
        )
        writers = writers_by_id.setdefault(text_id, _Writers())
        software = str(line.fields.get('software', ''))
        resumed_after = line.fields.get('resumed_after')
        if line.event == 'item-run':
            began = resumed_after is None
            if began or software in writers.events_by_software:
                events = int(str(line.fields['events']))
                _record_end(writers, software, events)
            continue
        if resumed_after is None:
            writers.running.add(software)
            continue
        resumed_ids.add(text_id)
        if writers.is_by_others(software, int(str(resumed_after))):
            joined.append(_make_joined(text_id, writers, line))
    return TextCount(len(resumed_ids), joined)


def _find_fingerprints(
    lines: abc.Iterable[savedlogs.LogLine],
) -> dict[str, str]:
    """Return the content of each stream that names no other, by its id.

    Callers that name ids are left out, and so are the streams that they name:
    several streams may share their content.
    """
    fingerprint_by_id: dict[str, str] = {}
    named_ids = set()
    for line in lines:
        if line.event != 'request-ended':
            continue
        if 'resumes' in line.fields:
            named_ids.update(
                (str(line.fields['id']), str(line.fields['resumes']))
            )
        elif 'fingerprint' in line.fields:
            fingerprint_by_id[str(line.fields['id'])] = str(
                line.fields['fingerprint']
            )
    return {
        request_id: fingerprint
        for request_id, fingerprint in fingerprint_by_id.items()
        if request_id not in named_ids
    }


def _has_events(line: savedlogs.LogLine) -> bool:
    if line.event == 'item-run':
        return bool(line.fields['events'])
    return line.event == 'endpoint-answered' and line.fields['status'] == 200


def _record_end(writers: _Writers, software: str, events: int) -> None:
    writers.running.discard(software)
    reached = writers.events_by_software.get(software, 0)
    writers.events_by_software[software] = max(reached, events)


def _make_joined(
    text_id: str, writers: _Writers, line: savedlogs.LogLine
) -> JoinedText:
    software = writers.events_by_software.keys() | writers.running
    return JoinedText(
        text_id,
        tuple(sorted(software)),
        str(line.fields['endpoint']),
        str(line.fields.get('software', '')),
        str(line.fields['resumed_after']),
    )
