"""Extract builds of the history, to run them beside the present one."""

import io
import pathlib
import subprocess
import tarfile

__all__ = ['extract_build']

ROOT = pathlib.Path(__file__).resolve().parent.parent


def extract_build(commit: str, folder: pathlib.Path) -> pathlib.Path:
    """Return a folder with the package as of a commit.

    Raise CalledProcessError where the history does not hold the commit.
    """
    target = folder / f'build-{commit}'
    if target.exists():
        return target
    archive = subprocess.run(
        ['git', 'archive', commit, 'pomelopass'],
        cwd=ROOT,
        check=True,
        capture_output=True,
    ).stdout
    with tarfile.open(fileobj=io.BytesIO(archive)) as files:
        files.extractall(target, filter='data')
    return target
