"""Propose, check and read configurations."""

import dataclasses
import difflib
import getpass
import pathlib
from typing import Annotated

import cappa
from returns import result

from .. import command
from ..configuring import configuration
from ..configuring import problem
from ..reporting import isotime

__all__ = ['Config']


@cappa.command(name='propose', help='Propose a full configuration.')
@dataclasses.dataclass
class Propose:
    """Arguments of a proposal."""

    file: Annotated[str, cappa.Arg(help='File with the configuration.')]
    base: Annotated[
        int, cappa.Arg(long=True, help='Version on which it is based.')
    ]
    author: Annotated[
        str, cappa.Arg(long=True, help='Name in the history.')
    ] = dataclasses.field(default_factory=getpass.getuser)

    def run(self, access: command.Access) -> None:
        """Send the proposal and print the accepted version."""
        body = {
            'base_version': self.base,
            'author': self.author,
            'text': _read_file(self.file),
        }
        answer = command.call(access, 'POST', '/config', body)
        print(f'accepted: version {answer["version"]}')


@cappa.command(name='check', help='Check a file without an instance.')
@dataclasses.dataclass
class Check:
    """Arguments of a check."""

    file: Annotated[str, cappa.Arg(help='File with the configuration.')]

    def run(self, access: command.Access | None) -> None:
        """Print every problem of the file."""
        check_result = configuration.check_configuration(_read_file(self.file))
        if isinstance(check_result, result.Failure):
            lines = [
                problem.format_problem(config_problem)
                for config_problem in check_result.failure()
            ]
            raise command.CommandError('\n'.join(lines))
        print('The configuration is valid.')


@cappa.command(name='show', help='Print a version.')
@dataclasses.dataclass
class Show:
    """Version to print."""

    version: Annotated[
        int | None, cappa.Arg(help='Version; default: the one in force.')
    ] = None

    def run(self, access: command.Access) -> None:
        """Print the text of the version."""
        answer = command.call(access, 'GET', _get_target(self.version))
        print(f'// version {answer["version"]}')
        print(answer['text'], end='')


@cappa.command(name='history', help='List the retained versions.')
@dataclasses.dataclass
class History:
    """No arguments."""

    def run(self, access: command.Access) -> None:
        """Print one line for each version."""
        answer = command.call(access, 'GET', '/config/history')
        for entry in answer['versions']:
            time = isotime.format_utc(entry['accepted_at_utc_ms'])
            digest = entry['digest'][:12]
            print(
                f'{entry["version"]:6d}  {time}  {digest}  {entry["author"]}'
            )


@cappa.command(name='diff', help='Compare two versions.')
@dataclasses.dataclass
class Diff:
    """Versions to compare."""

    old: Annotated[int, cappa.Arg(help='Older version.')]
    new: Annotated[int, cappa.Arg(help='Newer version.')]

    def run(self, access: command.Access) -> None:
        """Print the changed lines."""
        texts = [
            command.call(access, 'GET', _get_target(version))['text']
            for version in (self.old, self.new)
        ]
        lines = difflib.unified_diff(
            texts[0].splitlines(),
            texts[1].splitlines(),
            f'version {self.old}',
            f'version {self.new}',
            lineterm='',
        )
        for line in lines:
            print(line)


@cappa.command(name='config', help='Propose and read configurations.')
@dataclasses.dataclass
class Config:
    """Subcommand to run."""

    action: cappa.Subcommands[Propose | Check | Show | History | Diff]

    def run(self, access: command.Access) -> None:
        """Run the subcommand."""
        self.action.run(access)


def _read_file(path: str) -> str:
    try:
        return pathlib.Path(path).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        raise command.CommandError(
            f'The file cannot be read: {error}.'
        ) from None


def _get_target(version: int | None) -> str:
    return '/config' if version is None else f'/config/{version}'
