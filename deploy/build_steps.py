"""Steps of ``build.sh``: the lock, digests of the inputs, and the swap.

Uses the standard library only, since it runs before the libraries are installed.
"""

from __future__ import annotations

import ctypes
import fcntl
import hashlib
import os
import shutil
import sys
import sysconfig
from pathlib import Path


AT_FDCWD = -100
RENAME_EXCHANGE = 2
# Written by pip and Python beside the sources.
GENERATED = ("__pycache__", "*.egg-info")


def lock(descriptor: str) -> None:
    """Lock an open file of the shell, which holds the lock until it closes the file."""
    fcntl.flock(int(descriptor), fcntl.LOCK_EX)


def digest(*inputs: str) -> None:
    """Print a digest of the files in the inputs, the kind of machine and of Python."""
    state = hashlib.sha256()
    for part in (sysconfig.get_platform(), sys.implementation.cache_tag, sys.version):
        state.update(f"{part}\0".encode())
    for path in sorted(file for name in inputs for file in _files(Path(name))):
        content = path.read_bytes()
        state.update(f"{path.as_posix()}\0{len(content)}\0".encode())
        state.update(content)
    print(state.hexdigest())


def _files(path: Path) -> list[Path]:
    if path.is_file():
        return [path]
    return [
        file
        for file in path.rglob("*")
        if file.is_file()
        and not any(parent.match(p) for parent in file.parents for p in GENERATED)
    ]


def publish(new_name: str, link_name: str) -> None:
    """Make the link refer to the new directory, and remove all but the previous one."""
    new, link = Path(new_name), Path(link_name)
    numbers = [_number(path, link) for path in link.parent.glob(f"{link.name}.*")]
    build = link.with_name(f"{link.name}.{max([0, *numbers]) + 1}")
    new.rename(build)
    new_link = link.with_name(f"{link.name}-new")
    new_link.unlink(missing_ok=True)
    new_link.symlink_to(build.name)
    if link.is_symlink() or not link.exists():
        previous = link.resolve()
        new_link.replace(link)
    else:
        # An ordinary directory, as builds without a link made it.
        previous = link.with_name(f"{link.name}.0")
        if previous.exists():
            shutil.rmtree(previous)
        _exchange(new_link, link, previous)
    # Processes that are starting still import from the previous directory.
    kept = (build.resolve(), previous.resolve())
    for path in link.parent.glob(f"{link.name}.*"):
        if path.resolve() not in kept:
            shutil.rmtree(path)


def _number(build: Path, link: Path) -> int:
    suffix = build.name.removeprefix(f"{link.name}.")
    return int(suffix) if suffix.isdecimal() else 0


def _exchange(new_link: Path, link: Path, previous: Path) -> None:
    """Put the link in the place of the directory, which becomes ``previous``."""
    libc = ctypes.CDLL(None)
    names = os.fsencode(new_link), os.fsencode(link)
    is_exchanged = hasattr(libc, "renameat2") and not libc.renameat2(
        AT_FDCWD, names[0], AT_FDCWD, names[1], RENAME_EXCHANGE
    )
    if is_exchanged:
        new_link.rename(previous)
        return
    # Without the system call there is a moment without modules, once.
    link.rename(previous)
    new_link.rename(link)


STEPS = {"lock": lock, "digest": digest, "publish": publish}

if __name__ == "__main__":
    STEPS[sys.argv[1]](*sys.argv[2:])
