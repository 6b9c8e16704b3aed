"""Show the events of saved logs without a running instance."""

import dataclasses
import pathlib
import sys
from typing import Annotated

import cappa

from .. import command
from ..reporting import clockskew
from ..reporting import configaudit
from ..reporting import dutyaudit
from ..reporting import keyaudit
from ..reporting import leavingaudit
from ..reporting import limitaudit
from ..reporting import savedlogs
from ..reporting import servedaudit
from ..reporting import textaudit
from ..reporting import timelinepage

__all__ = ['Logs']


@cappa.command(name='explain', help='Show all events of one id in order.')
@dataclasses.dataclass
class ExplainLogs:
    """Arguments of the explanation of an id."""

    subject: Annotated[
        str, cappa.Arg(help='Id of a request, an item or a job.')
    ]
    files: Annotated[
        list[str], cappa.Arg(help='Log files; - is standard input.')
    ]

    def run(self, access: command.Access | None) -> None:
        """Print the events of the id and of its job on all instances."""
        lines = _read_files(self.files)
        related_lines = savedlogs.find_related(lines, self.subject)
        if not related_lines:
            raise command.CommandError(f'No line names {self.subject!r}.')
        instances = {line.instance for line in related_lines}
        for remark in _get_remarks(
            [line for line in lines if line.instance in instances]
        ):
            print(f'# {remark}')
        for line in related_lines:
            print(savedlogs.format_line(line))


@cappa.command(name='timeline', help='Show the events of all files in order.')
@dataclasses.dataclass
class TimelineLogs:
    """Arguments of a timeline."""

    files: Annotated[
        list[str], cappa.Arg(help='Log files; - is standard input.')
    ]
    html: Annotated[
        str | None, cappa.Arg(long=True, help='Write a page to this file.')
    ] = None
    without: Annotated[
        list[str], cappa.Arg(long=True, help='Name of an event to omit.')
    ] = dataclasses.field(default_factory=list)

    def run(self, access: command.Access | None) -> None:
        """Print the events or write them as a page."""
        lines = _read_files(self.files)
        shown_lines = [
            line for line in lines if line.event not in self.without
        ]
        remarks = _get_remarks(lines)
        if self.html is None:
            for remark in remarks:
                print(f'# {remark}')
            for line in shown_lines:
                print(savedlogs.format_line(line))
            return
        page = timelinepage.make_page(
            [_make_event(line) for line in shown_lines], remarks
        )
        pathlib.Path(self.html).write_text(page, encoding='utf-8')
        print(f'{len(shown_lines)} events in {self.html}')


@cappa.command(
    name='audit',
    help='Compare what endpoints got with their limits, find texts that '
    'several software versions wrote, compare how instances without links '
    'to endpoints served their callers, find requests to endpoints that had '
    'said that they leave, measure how late instances had each '
    'configuration in force, find requests that were sent with a key '
    'after its end, windows of usage that were reported with other counts '
    'and duties with two holders.',
)
@dataclasses.dataclass
class AuditLogs:
    """Arguments of the audit."""

    files: Annotated[
        list[str],
        cappa.Arg(help='Log files at level DEBUG; - is standard input.'),
    ]

    def run(self, access: command.Access | None) -> None:
        """Print the findings; fail if there is a broken promise."""
        lines = _read_files(self.files)
        broken = [
            promise
            for promise, check in (
                ('a limit was exceeded', _audit_limits),
                ('a text was joined', _audit_texts),
                ('callers were served unequally', _audit_served),
                ('requests reached leaving endpoints', _audit_leaving),
                ('a configuration was late', _audit_configurations),
                ('a key was used after its end', _audit_keys),
                ('duties had two holders or reports', _audit_duties),
            )
            if check(lines)
        ]
        if broken:
            raise command.CommandError(f'Audit: {", ".join(broken)}.')


@cappa.command(name='logs', help='Read saved logs of several instances.')
@dataclasses.dataclass
class Logs:
    """Subcommand to run."""

    action: cappa.Subcommands[ExplainLogs | TimelineLogs | AuditLogs]

    def run(self, access: command.Access | None) -> None:
        """Run the subcommand."""
        self.action.run(access)


def _audit_limits(lines: list[savedlogs.LogLine]) -> bool:
    """Print limited endpoints at their worst; return whether one got more."""
    uses = limitaudit.measure_limit_use(lines)
    for use in uses:
        state = 'EXCEEDED' if use.is_exceeded else 'kept'
        print(
            f'limit {state}: {use.endpoint} got {use.requests} requests '
            f'of {use.instances} instances in 4 s, allowed '
            f'{use.allowed:.1f}, {use.refused} refused'
        )
    return any(use.is_exceeded for use in uses)


def _audit_texts(lines: list[savedlogs.LogLine]) -> bool:
    """Print joined texts; return whether there is one."""
    texts = textaudit.find_joined_texts(lines)
    print(f'{texts.resumed} texts resumed, {len(texts.joined)} joined')
    for text in texts.joined:
        print(
            f'text JOINED: {text.id}, written by '
            f'{", ".join(text.software) or "unknown"}, resumed after '
            f'event {text.resumed_after} at {text.continued_at} '
            f'({text.continued_software})'
        )
    return bool(texts.joined)


def _audit_served(lines: list[savedlogs.LogLine]) -> bool:
    """Print what cut instances served; return whether it was far less."""
    counts = servedaudit.measure_served(lines)
    for count in counts:
        state = 'UNEQUAL' if count.is_unequal else 'equal'
        print(
            f'service {state}: {len(count.instances)} instances without '
            f'links to endpoints served {count.served} of {count.total}, '
            f'the others {count.served_elsewhere} of {count.total_elsewhere} '
            f'({", ".join(count.instances)})'
        )
    return any(count.is_unequal for count in counts)


def _audit_leaving(lines: list[savedlogs.LogLine]) -> bool:
    """Print late requests to leaving endpoints; return whether any came."""
    late_requests = leavingaudit.find_late_requests(lines)
    for late in late_requests:
        print(
            f'leaving IGNORED: {late.instance} sent {len(late.ids)} requests '
            f'to {late.endpoint} more than 2 s after it said that it leaves, '
            f'the first {late.ids[0]}'
        )
    return bool(late_requests)


def _audit_configurations(lines: list[savedlogs.LogLine]) -> bool:
    """Print the lags over the limit; return whether one is not explained."""
    lags = configaudit.measure_lags(lines)
    worst_ms = max((lag.lag_ms or 0.0 for lag in lags), default=0.0)
    print(f'{len(lags)} configurations in force, worst {worst_ms:.0f} ms')
    for lag in lags:
        if lag.lag_ms is not None and (
            lag.lag_ms <= configaudit.APPLY_LIMIT_MS
        ):
            continue
        state = 'LATE' if lag.is_late else 'late without the table'
        after = 'never' if lag.lag_ms is None else f'{lag.lag_ms:.0f} ms'
        print(
            f'configuration {state}: {lag.instance} had version '
            f'{lag.version} in force {after} after the first instance'
        )
    return any(lag.is_late for lag in lags)


def _audit_keys(lines: list[savedlogs.LogLine]) -> bool:
    """Print late uses of keys; return whether there is one."""
    uses = keyaudit.find_uses_of_ended_keys(lines)
    for use in uses:
        print(
            f'key ENDED: {use.instance} sent {use.id} for {use.workspace} by '
            f'version {use.granted_by}, {use.late_ms:.0f} ms after version '
            f'{use.ended_by} took keys from it'
        )
    return bool(uses)


def _audit_duties(lines: list[savedlogs.LogLine]) -> bool:
    """Print contradicting reports and holders; return whether any is."""
    other_reports = dutyaudit.find_other_reports(lines)
    for report in other_reports:
        senders = ', '.join(
            f'{digest} by {" and ".join(instances)}'
            for digest, instances in report.instances_by_digest.items()
        )
        print(f'usage CHANGED: window {report.window} was sent as {senders}')
    shared_tokens = dutyaudit.find_shared(lines)
    for token in shared_tokens:
        print(
            f'duty SHARED: {token.duty} of {token.subject} with token '
            f'{token.fence} by {", ".join(token.instances)}'
        )
    return bool(other_reports or shared_tokens)


def _read_files(names: list[str]) -> list[savedlogs.LogLine]:
    sources = []
    for name in names:
        if name == '-':
            sources.append(sys.stdin.read().splitlines())
            continue
        try:
            text = pathlib.Path(name).read_text(errors='replace')
        except OSError as error:
            detail = f'A log file cannot be read: {error}'
            raise command.CommandError(detail) from None
        sources.append(text.splitlines())
    return savedlogs.read_lines(sources)


def _make_event(line: savedlogs.LogLine) -> timelinepage.PageEvent:
    text = f'{line.event} {savedlogs.format_fields(line)}'
    return timelinepage.PageEvent(line.utc_ms or 0.0, line.instance, text)


def _get_remarks(lines: list[savedlogs.LogLine]) -> list[str]:
    skews = clockskew.find_clock_skews(lines)
    return [clockskew.format_clock_skew(skew) for skew in skews]
