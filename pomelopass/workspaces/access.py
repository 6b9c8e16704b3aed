"""Decide whether a request is granted, and for which workspace."""

import dataclasses

from . import directory as directories

__all__ = ['OPEN', 'Access', 'decide', 'may_use']


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """What one version of the configuration grants a request."""

    # Whether the configuration has workspaces at all.
    checks_keys: bool = False
    is_granted: bool = True
    # Empty without a valid key.
    workspace: str = ''


# Granted where the configuration has no workspaces.
OPEN = Access()


def decide(
    directory: directories.Directory | None,
    digest: bytes | None,
    is_anonymous: bool,
) -> Access:
    """Return what a request with the digest of its key is granted."""
    if directory is None:
        return OPEN
    workspace = directory.find_by_digest(digest)
    if workspace is None:
        return Access(checks_keys=True, is_granted=is_anonymous)
    return Access(checks_keys=True, workspace=workspace.name)


def may_use(access: Access, workspace: str) -> bool:
    """Return whether a caller may use a job or stream of a workspace.

    Those without a workspace are open to all, and so is everything where the
    configuration has no workspaces.
    """
    return not access.checks_keys or workspace in ('', access.workspace)
