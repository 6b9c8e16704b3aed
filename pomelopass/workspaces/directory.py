"""Find the workspace of a key."""

from collections import abc
import dataclasses
import hashlib

__all__ = [
    'Directory',
    'Workspace',
    'build_directory',
    'find_ended',
    'make_digest',
    'make_digests',
]


@dataclasses.dataclass(frozen=True, slots=True)
class Workspace:
    """A group of callers that share keys; priority 0 is served first."""

    name: str
    priority: int | None = None


class Directory:
    """Workspaces of one version of the configuration, by key.

    Only the digests of keys are kept, so that no dump or log can show a key.
    """

    def __init__(self, workspace_by_digest: dict[bytes, Workspace]):
        self.workspace_by_digest = workspace_by_digest

    def find(self, key: str) -> Workspace | None:
        """Return the workspace of a key, or None if it is unknown."""
        return self.find_by_digest(make_digest(key.encode()))

    def find_by_digest(self, digest: bytes | None) -> Workspace | None:
        """Return the workspace of a key's digest, or None if unknown."""
        return self.workspace_by_digest.get(digest)

    def find_name(self, digest: bytes) -> str | None:
        """Return the name of the workspace of a key's digest, or None."""
        workspace = self.find_by_digest(digest)
        return None if workspace is None else workspace.name


def make_digest(key: bytes) -> bytes:
    """Return the digest by which a key is looked up."""
    return hashlib.sha256(key).digest()


def make_digests(
    keys: abc.Iterable[str], place: str
) -> abc.Iterator[tuple[str, bytes]]:
    """Yield the place and the digest of each key; raise ValueError."""
    for position, key in enumerate(keys):
        if not key:
            raise ValueError(f'{place}.{position}: the key is empty')
        yield f'{place}.{position}', make_digest(key.encode())


def build_directory(
    digests_by_workspace: abc.Iterable[
        tuple[Workspace, abc.Iterable[tuple[str, bytes]]]
    ],
) -> Directory:
    """Return the directory of all workspaces; raise ValueError with a place.

    Each digest comes with the place of its key. A key that a workspace has
    twice is harmless.
    """
    names: set[str] = set()
    workspace_by_digest: dict[bytes, Workspace] = {}
    for index, (workspace, digests) in enumerate(digests_by_workspace):
        _check_name(workspace.name, names, index)
        names.add(workspace.name)
        for place, digest in digests:
            known = workspace_by_digest.setdefault(digest, workspace)
            if known.name != workspace.name:
                raise ValueError(f'{place}: {known.name!r} has the same key')
    return Directory(workspace_by_digest)


def find_ended(older: Directory | None, newer: Directory | None) -> list[str]:
    """Return the names of workspaces that lost a key in the newer version."""
    if older is None or newer is None:
        return []
    return sorted(
        {
            workspace.name
            for digest, workspace in older.workspace_by_digest.items()
            if newer.find_name(digest) != workspace.name
        }
    )


def _check_name(name: str, names: set[str], index: int) -> None:
    if not name.strip():
        raise ValueError(f'{index}.name: the name is empty')
    if any(
        ord(character) < ord(' ') or character == '\x7f' for character in name
    ):
        # Endpoints get the name in a header.
        raise ValueError(f'{index}.name: the name has control characters')
    if name in names:
        raise ValueError(f'{index}.name: {name!r} is a duplicate')
