"""Reads files of objects from the paths of a command line."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

from result import Err, Ok, Result

from pomeloarch_core.objects import SourceText
from pomeloarch_core.objects.parser import MAX_FILE_BYTES


def read_sources(
    paths: Sequence[str],
) -> Result[list[SourceText], list[str]]:
    """Reads files, and all `*.toml` below directories.

    Args:
      paths: files and directories.

    Returns:
      The files in the order of their names, or what could not be read.
    """
    sources: list[SourceText] = []
    faults: list[str] = []
    for path in _files(paths, faults):
        try:
            with path.open("rb") as file:
                # One byte above the limit is enough to find it too large.
                content = file.read(MAX_FILE_BYTES + 1)
        except OSError as exc:
            faults.append(f"{path}: {exc.strerror or exc}")
        else:
            sources.append(SourceText(str(path), content))
    return Err(faults) if faults else Ok(sources)


def _files(paths: Sequence[str], faults: list[str]) -> list[pathlib.Path]:
    found: set[pathlib.Path] = set()
    for text in paths:
        path = pathlib.Path(text)
        if not path.is_dir():
            found.add(path)
            continue
        below = sorted(path.rglob("*.toml"))
        if not below:
            faults.append(f"{path}: no *.toml file in this directory")
        found.update(below)
    return sorted(found)
