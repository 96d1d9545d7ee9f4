"""Test profiles, and the list of known faults that CI passes over.

KNOWN-RED.txt has an entry a line: `test id | command | seed | seen | issue`.
A listed test still runs and its outcome is printed. Any other failure, and a
listed test that passes, fails the run, so that the list stays accurate.
"""

import os
import pathlib

import hypothesis
import pytest

_KNOWN_RED = pathlib.Path(__file__).parent / "KNOWN-RED.txt"

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None, print_blob=True
)
hypothesis.settings.register_profile(
    "fuzz", deadline=None, max_examples=20_000, print_blob=True
)
hypothesis.settings.load_profile(
    "fuzz" if os.environ.get("POMELOARCH_FUZZ") else "ci"
)


def _known_red() -> dict[str, str]:
    if not _KNOWN_RED.exists():
        return {}
    lines = _KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return {line.split("|")[0].strip(): line for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Marks the listed tests as expected to fail, strictly."""
    known = _known_red()
    for item in items:
        if item.nodeid in known:
            item.add_marker(
                pytest.mark.xfail(strict=True, reason=known[item.nodeid])
            )


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Prints the listed faults below every run."""
    for entry in _known_red().values():
        terminalreporter.write_line(f"known red: {entry}")
