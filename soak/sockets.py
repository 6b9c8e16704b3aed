"""Find the process that a loopback connection belongs to."""

from collections import abc
import os
import pathlib

__all__ = ['find_owner']

TABLE = pathlib.Path('/proc/net/tcp')


def find_owner(
    port: int, peer_port: int, pid_by_name: abc.Mapping[str, int]
) -> str | None:
    """Return the name of the process that connected from a port, or None."""
    inode = _find_inode(port, peer_port)
    if inode is None:
        return None
    target = f'socket:[{inode}]'
    for name, pid in pid_by_name.items():
        if target in _read_links(pathlib.Path(f'/proc/{pid}/fd')):
            return name
    return None


def _find_inode(port: int, peer_port: int) -> str | None:
    for line in TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        ports = [int(field.rpartition(':')[2], 16) for field in fields[1:3]]
        if ports == [port, peer_port]:
            return fields[9]
    return None


def _read_links(folder: pathlib.Path) -> set[str]:
    links = set()
    try:
        names = os.listdir(folder)
    except OSError:
        # The process has ended.
        return links
    for name in names:
        try:
            links.add(os.readlink(folder / name))
        except OSError:
            # Closed since the folder was read.
            continue
    return links
