"""What builds a package is installed before it, as builds aren't isolated."""

import pathlib
import re
import tomllib

import pytest

_ROOT = pathlib.Path(__file__).resolve().parents[3]

_PROJECTS = [
    *sorted(_ROOT.glob("packages/*/pyproject.toml")),
    _ROOT / "platform" / "pyproject.toml",
]

# The wheel package is left out: setuptools builds wheels without it.
_BUILD_TOOLS = [
    "cffi",
    "cython",
    "flit-core",
    "hatchling",
    "meson-python",
    "pbr",
    "pkgconfig",
    "poetry-core",
    "scikit-build-core",
    "setuptools",
    "setuptools-scm",
]


def _names(requirements: list[str]) -> set[str]:
    matches = [re.match(r"[\w.-]+", line) for line in requirements]
    return {
        match.group().lower().replace("_", "-") for match in matches if match
    }


def _names_in(file: str) -> set[str]:
    return _names((_ROOT / file).read_text().splitlines())


@pytest.mark.parametrize(
    "project", _PROJECTS, ids=lambda path: path.parent.name
)
def test_build_requirements_are_installed_before_the_packages(
    project: pathlib.Path,
):
    build_system = tomllib.loads(project.read_text())["build-system"]
    assert _names(build_system["requires"]) <= _names_in("requirements-dev.txt")


@pytest.mark.parametrize("tool", _BUILD_TOOLS)
def test_pinned_build_tool_is_installed_before_the_packages(tool: str):
    if tool in _names_in("constraints.txt"):
        assert tool in _names_in("requirements-dev.txt")
