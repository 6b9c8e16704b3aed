"""Find requests that were sent with a key after its end."""

from collections import abc
import dataclasses

from . import savedlogs

__all__ = ['EndedKeyUse', 'find_uses_of_ended_keys']

# Fields are rounded to a tenth of a millisecond, times to one.
ROUNDING_MS = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class EndedKeyUse:
    """A request that an instance sent by an older version than its own."""

    instance: str
    id: str
    workspace: str
    granted_by: int
    ended_by: int
    late_ms: float


def find_uses_of_ended_keys(
    lines: abc.Iterable[savedlogs.LogLine],
) -> list[EndedKeyUse]:
    """Return the requests that were granted by a version that was over.

    Logs name no keys: a request is found if the version that granted it is
    older than one that took keys from its workspace, which the instance had
    in force by then. How late instances have a version in force is measured
    by the audit of configurations. All times are of one instance's clock.
    """
    ends_by_instance: dict[str, list[tuple[float, int, set[str]]]] = {}
    uses = []
    for line in lines:
        if line.steady_ms is None:
            continue
        if line.event == 'started':
            ends_by_instance.pop(line.instance, None)
        elif line.event == 'keys-ended':
            ends = ends_by_instance.setdefault(line.instance, [])
            ends.append(
                (
                    line.steady_ms,
                    int(str(line.fields['version'])),
                    set(_get_names(line)),
                )
            )
        elif line.event == 'request-ended':
            ends = ends_by_instance.get(line.instance, [])
            use = _find_use(line, ends)
            if use is not None:
                uses.append(use)
    return uses


def _get_names(line: savedlogs.LogLine) -> list[str]:
    names = line.fields['workspaces']
    return [str(name) for name in names] if isinstance(names, list) else []


def _find_use(
    line: savedlogs.LogLine, ends: list[tuple[float, int, set[str]]]
) -> EndedKeyUse | None:
    fields = line.fields
    if fields.get('granted_by') is None or not fields.get('endpoints'):
        return None
    granted_by = int(str(fields['granted_by']))
    started_ms = line.steady_ms - float(str(fields['took_ms']))
    granted_at_ms = started_ms + float(str(fields['granted_ms']))
    for ended_at_ms, ended_by, names in ends:
        late_ms = granted_at_ms - ended_at_ms
        if (
            fields.get('workspace') in names
            and granted_by < ended_by
            and late_ms > ROUNDING_MS
        ):
            return EndedKeyUse(
                line.instance,
                str(fields['id']),
                str(fields['workspace']),
                granted_by,
                ended_by,
                round(late_ms, 1),
            )
    return None
