"""Run the command-line tool of operators."""

import dataclasses
import os
import sys
from typing import Annotated

import cappa

from . import command
from .commands import config
from .commands import explain
from .commands import logs
from .commands import status
from .commands import timeline
from .commands import where

__all__ = ['main']


@cappa.command(name='pomelopass', help='Operate pomelopass.')
@dataclasses.dataclass
class Tool:
    """Instance to contact, its token file and the command to run."""

    action: cappa.Subcommands[
        config.Config
        | status.Status
        | timeline.Timeline
        | explain.Explain
        | logs.Logs
        | where.Where
    ]
    instance: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('POMELOPASS_INSTANCE', default=''),
            help='Operator address of any instance, as IP:PORT.',
        ),
    ] = ''
    token_file: Annotated[
        str,
        cappa.Arg(
            long=True,
            default=cappa.Env('POMELOPASS_TOKEN_FILE', default=''),
            help='File with the operator token.',
        ),
    ] = ''


def main() -> None:
    """Parse the arguments and run the command."""
    tool = cappa.parse(Tool, completion=False)
    try:
        _run(tool)
    except cappa.Exit as error:
        cappa.Output().exit(error, '')
        raise SystemExit(error.code) from None
    except BrokenPipeError:
        # The reader closed the pipe; the flush at exit must not fail.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())


def _run(tool: Tool) -> None:
    action = tool.action
    offline = isinstance(action, logs.Logs | where.Where) or (
        isinstance(action, config.Config)
        and isinstance(action.action, config.Check)
    )
    access = None
    if not offline:
        access = command.make_access(tool.instance, tool.token_file)
    action.run(access)
