"""Find reports with other counts and duties with two holders."""

from collections import abc
import dataclasses

from . import savedlogs

__all__ = ['OtherReports', 'SharedToken', 'find_other_reports', 'find_shared']

# With these outcomes nothing was sent.
UNSENT_OUTCOMES = ('unreachable', 'withdrawn')
USAGE_SUBJECT = ('usage', 'windows')


@dataclasses.dataclass(frozen=True, slots=True)
class OtherReports:
    """A window whose report was sent with different bytes."""

    window: int
    # By digest of the bytes, in the order of the log.
    instances_by_digest: dict[str, tuple[str, ...]]


@dataclasses.dataclass(frozen=True, slots=True)
class SharedToken:
    """A fencing token with which several instances held one subject."""

    duty: str
    subject: str
    fence: int
    instances: tuple[str, ...]


def find_other_reports(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[OtherReports]:
    """Return the windows that were reported with different counts."""
    instances_by_window: dict[int, dict[str, list[str]]] = {}
    for line in lines:
        if not _was_sent(line):
            continue
        window = int(str(line.fields['window']))
        by_digest = instances_by_window.setdefault(window, {})
        instances = by_digest.setdefault(str(line.fields['digest']), [])
        if line.instance not in instances:
            instances.append(line.instance)
    return [
        OtherReports(
            window,
            {digest: tuple(names) for digest, names in by_digest.items()},
        )
        for window, by_digest in sorted(instances_by_window.items())
        if len(by_digest) > 1
    ]


def find_shared(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[SharedToken]:
    """Return the tokens that several instances held or sent."""
    instances_by_token: dict[tuple[str, str, int], set[str]] = {}
    for line in lines:
        subject = USAGE_SUBJECT
        if line.event == 'duty-taken':
            subject = (str(line.fields['duty']), str(line.fields['subject']))
        elif not _was_sent(line):
            continue
        token = (*subject, int(str(line.fields['fence'])))
        instances_by_token.setdefault(token, set()).add(line.instance)
    return [
        SharedToken(*token, tuple(sorted(instances)))
        for token, instances in sorted(instances_by_token.items())
        if len(instances) > 1
    ]


def _was_sent(line: savedlogs.LogLine) -> bool:
    return (
        line.event == 'usage-reported'
        and line.fields['outcome'] not in UNSENT_OUTCOMES
    )
