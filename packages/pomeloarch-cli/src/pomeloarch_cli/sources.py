"""Reads the object files that the command line names."""

from __future__ import annotations

import pathlib
from collections.abc import Sequence

from result import Err, Ok, Result

from pomeloarch_core.objects import SourceText
from pomeloarch_core.objects.parser import MAX_FILE_BYTES


def read_sources(
    paths: Sequence[str],
) -> Result[list[SourceText], list[str]]:
    """Reads files, and all `*.toml` files under directories.

    Args:
      paths: the files and directories.

    Returns:
      The files sorted by path, or an error for each that could not be read.
    """
    sources: list[SourceText] = []
    errors: list[str] = []
    for path in _find_files(paths, errors):
        try:
            with path.open("rb") as file:
                # One byte more than the limit shows that the file is too large.
                content = file.read(MAX_FILE_BYTES + 1)
        except OSError as exc:
            errors.append(f"{path}: {exc.strerror or exc}")
        else:
            sources.append(SourceText(str(path), content))
    return Err(errors) if errors else Ok(sources)


def _find_files(paths: Sequence[str], errors: list[str]) -> list[pathlib.Path]:
    found: set[pathlib.Path] = set()
    for name in paths:
        path = pathlib.Path(name)
        if not path.is_dir():
            found.add(path)
            continue
        toml_files = sorted(path.rglob("*.toml"))
        if not toml_files:
            errors.append(f"{path}: no *.toml file in this directory")
        found.update(toml_files)
    return sorted(found)
