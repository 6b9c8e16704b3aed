"""Show the state of all instances."""

import dataclasses
from typing import Annotated

import cappa

from .. import command

__all__ = ['Status']


@cappa.command(name='status', help='Show all instances and endpoints.')
@dataclasses.dataclass
class Status:
    """Arguments of the command."""

    json: Annotated[bool, cappa.Arg(long=True, help='Print JSON.')] = False

    def run(self, access: command.Access) -> None:
        """Print one line for each instance and each endpoint."""
        instances = command.find_instances(access)
        answers = command.call_all(instances, '/status')
        if self.json:
            command.print_json([answer for _, answer in answers])
            return
        for instance, answer in answers:
            if answer is None:
                print(f'instance {instance.address} does not answer')
                continue
            duties = ', '.join(answer['duties']) or 'none'
            print(
                f'instance {answer["instance"]}'
                f'  zone {answer["availability_zone"]}'
                f'  phase {answer["phase"]}'
                f'  config {answer["config_version"]}'
                f'  in flight {answer["requests_in_flight"]}'
                f'  duties {duties}'
            )
        _print_endpoints(answers[0][1])


def _print_endpoints(answer: dict) -> None:
    for endpoint in answer['endpoints']:
        state = 'leaving' if endpoint['leaving'] else 'live'
        if endpoint['ejected']:
            state += ', ejected'
        versions = ', '.join(
            f'{model} {version}'
            for model, version in sorted(endpoint['versions'].items())
        )
        print(
            f'endpoint {endpoint["key"]}  pool {endpoint["pool"]}'
            f'  zone {endpoint["availability_zone"]}  {state}'
            f'  versions {versions or "none"}'
        )
