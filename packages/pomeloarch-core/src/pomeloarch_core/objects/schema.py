"""Validates one object against its schema and reports all errors together."""

from __future__ import annotations

import difflib
import enum
import functools
import inspect
import re
import typing
from collections.abc import Iterator
from typing import Any

import msgspec

from pomeloarch_core.objects.findings import FieldPath

_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_NAME_REQUIREMENT = (
    "must be 1 to 63 lower-case letters, digits and hyphens, "
    "and begin with a letter or digit"
)
_MAX_SHOWN_CHARACTERS = 40

SchemaError = tuple[FieldPath, str]


def find_schema_errors(
    value: Any, expected: Any, path: FieldPath = ()
) -> Iterator[SchemaError]:
    """Yields every mismatch between a decoded value and its type.

    Args:
      value: the value decoded from TOML or JSON.
      expected: the struct or field type that it has to match.
      path: the path of the value in its object.
    """
    if _is_struct(expected):
        yield from _struct_errors(value, expected, path)
    elif typing.get_origin(expected) is tuple:
        yield from _list_errors(value, expected, path)
    else:
        yield from _value_errors(value, expected, path)


def spelling_hint(name: str, known: typing.Iterable[str]) -> str:
    """Returns a hint with the most similar known name, or with all of a few."""
    names = sorted(known)
    similar = difflib.get_close_matches(name[:_MAX_SHOWN_CHARACTERS], names, 1)
    if similar:
        return f"; did you mean {similar[0]!r}?"
    return f"; known are: {', '.join(names)}" if 0 < len(names) <= 12 else ""


def abbreviate(value: Any) -> str:
    """Returns a short text of a value, for a message."""
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        return f"a very large {type(value).__name__}"
    if len(text) > _MAX_SHOWN_CHARACTERS:
        return text[:_MAX_SHOWN_CHARACTERS] + "…"
    return text


def _is_struct(expected: Any) -> bool:
    return inspect.isclass(expected) and issubclass(expected, msgspec.Struct)


@functools.cache
def _fields_by_name(
    struct: type[msgspec.Struct],
) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.name: field for field in msgspec.structs.fields(struct)}


def _struct_errors(
    value: Any, struct: type[msgspec.Struct], path: FieldPath
) -> Iterator[SchemaError]:
    if not isinstance(value, dict):
        yield path, f"must be a table, not {abbreviate(value)}"
        return
    fields = _fields_by_name(struct)
    for name in value:
        if name not in fields:
            hint = spelling_hint(name, fields)
            yield (*path, name), f"unknown field {abbreviate(name)}{hint}"
    for name, field in fields.items():
        if name in value:
            yield from find_schema_errors(
                value[name], field.type, (*path, name)
            )
            if name == "name":
                yield from _name_errors(value[name], (*path, name))
        elif field.required:
            yield path, f"field {_dotted_path((*path, name))} must be given"


def _list_errors(
    value: Any, expected: Any, path: FieldPath
) -> Iterator[SchemaError]:
    if not isinstance(value, list):
        yield (
            path,
            f"{_dotted_path(path)} must be a list, not {abbreviate(value)}",
        )
        return
    element = typing.get_args(expected)[0]
    for index, item in enumerate(value):
        yield from find_schema_errors(item, element, (*path, index))


def _value_errors(
    value: Any, expected: Any, path: FieldPath
) -> Iterator[SchemaError]:
    if isinstance(value, float) and value != value:
        yield path, f"{_dotted_path(path)} must be a number, not nan"
        return
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as exc:
        yield (
            path,
            f"{_dotted_path(path)} is {abbreviate(value)}: "
            f"{_requirement(expected, exc)}",
        )


def _requirement(expected: Any, exc: msgspec.ValidationError) -> str:
    if inspect.isclass(expected) and issubclass(expected, enum.Enum):
        return f"must be one of {', '.join(str(e.value) for e in expected)}"
    return str(exc).replace("`", "").replace("Expected", "expected")


def _name_errors(value: Any, path: FieldPath) -> Iterator[SchemaError]:
    if isinstance(value, str) and not _NAME.fullmatch(value):
        yield (
            path,
            f"{_dotted_path(path)} is {abbreviate(value)}: {_NAME_REQUIREMENT}",
        )


def _dotted_path(path: FieldPath) -> str:
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")
