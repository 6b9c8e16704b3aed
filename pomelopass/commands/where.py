"""Explain where a request or an item would go now."""

import asyncio
import dataclasses
import pathlib
from typing import Annotated

import cappa
import pydantic

from .. import command
from .. import message
from ..edges import httpclient
from ..placement import explain
from ..placement import placer as placers
from ..placement import snapshot as snapshots

__all__ = ['Where']

TIMEOUT_MS = 5000
MAX_STATE_BYTES = 67_108_864
PARTS = ('service', 'queue', 'way', 'bytes', 'prompt', 'risk')


@cappa.command(
    name='where', help='Explain where work would go, without sending it.'
)
@dataclasses.dataclass
class Where:
    """Arguments of the command."""

    route: Annotated[str, cappa.Arg(help='Name of a route.')]
    metrics: Annotated[
        str,
        cappa.Arg(long=True, help='Metrics address of an instance, IP:PORT.'),
    ] = ''
    state: Annotated[
        str, cappa.Arg(long=True, help='File with the saved state.')
    ] = ''
    body_bytes: Annotated[
        int, cappa.Arg(long=True, help='Bytes of the body.')
    ] = 1000
    service: Annotated[
        str, cappa.Arg(long=True, help='One of several services of the route.')
    ] = ''
    model: Annotated[
        str, cappa.Arg(long=True, help='Model, for an item of a job.')
    ] = ''
    length: Annotated[
        float, cappa.Arg(long=True, help='Expected length of an item.')
    ] = 0.0
    min_version: Annotated[
        int, cappa.Arg(long=True, help='Oldest weight version of an item.')
    ] = 0
    json: Annotated[bool, cappa.Arg(long=True, help='Print JSON.')] = False

    def run(self, access: command.Access | None) -> None:
        """Print the candidates with their costs and the decision."""
        snapshot = _read_snapshot(self)
        explanation = _explain(self, snapshot)
        if self.json:
            command.print_json(dataclasses.asdict(explanation))
            return
        for line in format_explanation(explanation):
            print(line)


def _read_snapshot(arguments: Where) -> snapshots.Snapshot:
    if bool(arguments.metrics) == bool(arguments.state):
        raise command.CommandError('Give either --metrics or --state.')
    if arguments.metrics:
        data = asyncio.run(_fetch(arguments.metrics))
    else:
        try:
            data = pathlib.Path(arguments.state).read_bytes()
        except OSError as error:
            text = f'The state cannot be read: {error}.'
            raise command.CommandError(text) from None
    try:
        return snapshots.Snapshot.model_validate_json(data)
    except pydantic.ValidationError as error:
        text = f'This is no state of a placement: {error.errors()[0]["msg"]}.'
        raise command.CommandError(text) from None


async def _fetch(address: str) -> bytes:
    client = httpclient.HttpClient()
    request = message.Request('GET', snapshots.STATE_PATH, (), b'')
    try:
        reply = await client.open(address, request, TIMEOUT_MS)
        data = await reply.read(MAX_STATE_BYTES)
    except message.ExchangeError as error:
        text = f'{address} does not answer: {error.kind}.'
        raise command.CommandError(text) from None
    finally:
        await client.close()
    if reply.status != 200:
        text = f'{address} answered {reply.status} for {snapshots.STATE_PATH}.'
        raise command.CommandError(text)
    return data


def _explain(
    arguments: Where, snapshot: snapshots.Snapshot
) -> explain.Explanation:
    route = next(
        (route for route in snapshot.routes if route.name == arguments.route),
        None,
    )
    if route is None:
        names = ', '.join(sorted(route.name for route in snapshot.routes))
        text = f'There is no route {arguments.route!r}. Routes: {names}.'
        raise command.CommandError(text)
    service = arguments.service or route.services[0]
    if not route.is_jobs:
        work = placers.CallWork(service, route.name, arguments.body_bytes)
        return explain.explain_call(snapshot, work)
    if not arguments.model:
        raise command.CommandError('Items of this route need --model.')
    item = placers.ItemWork(
        service,
        arguments.model,
        arguments.min_version,
        arguments.body_bytes,
        arguments.length,
        ahead=snapshot.waiting_by_service.get(service, 0),
    )
    return explain.explain_item(snapshot, item)


def format_explanation(explanation: explain.Explanation) -> list[str]:
    """Return the decision and a table of the candidates."""
    where = f' to {explanation.endpoint}' if explanation.endpoint else ''
    wait = ''
    if explanation.wait_ms is not None:
        wait = f' for at most {explanation.wait_ms} ms'
    lines = [f'{explanation.outcome}{where}{wait}: {explanation.reason}']
    width = max((len(row.endpoint) for row in explanation.rows), default=0)
    header = ''.join(f'{part:>9s}' for part in PARTS)
    lines.append(
        f'{"endpoint":{max(width, 8)}s} {"zone":12s} {"state":9s}'
        f'{"cost ms":>9s}{header}'
    )
    for row in explanation.rows:
        numbers = ''
        if row.parts_ms:
            values = (row.total_ms, *(row.parts_ms[part] for part in PARTS))
            numbers = ''.join(f'{value:9.1f}' for value in values)
        lines.append(
            f'{row.endpoint:{max(width, 8)}s} {row.zone:12s}'
            f' {row.condition:9s}{numbers}'.rstrip()
        )
    return lines
