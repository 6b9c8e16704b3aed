"""Decide whether a request may be served, and for which workspace."""

import dataclasses

from . import directory as directories

__all__ = ['Access', 'decide']


@dataclasses.dataclass(frozen=True, slots=True)
class Access:
    """What one version of the configuration grants a request."""

    # Whether the configuration has workspaces at all.
    checks_keys: bool = False
    is_granted: bool = True
    # Empty without a valid key.
    workspace: str = ''


def decide(
    directory: directories.Directory | None,
    digest: bytes | None,
    is_anonymous: bool,
) -> Access:
    """Return what a request with the digest of its key is granted."""
    if directory is None:
        return Access()
    workspace = directory.find_by_digest(digest)
    if workspace is None:
        return Access(True, is_anonymous)
    return Access(True, True, workspace.name)
