"""Finds everything that is wrong with the shape of one object at once."""

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
_NAME_RULE = (
    "must be 1 to 63 lower-case letters, digits and hyphens, "
    "and begin with a letter or digit"
)
_SHOWN_CHARACTERS = 40

ShapeFault = tuple[FieldPath, str]


def shape_faults(
    value: Any, expected: Any, path: FieldPath = ()
) -> Iterator[ShapeFault]:
    """Yields every fault of a decoded value against its type.

    Args:
      value: what TOML or JSON gave.
      expected: the struct or field type that it has to fit.
      path: where the value stands in its object.
    """
    if _is_struct(expected):
        yield from _struct_faults(value, expected, path)
    elif typing.get_origin(expected) is tuple:
        yield from _list_faults(value, expected, path)
    else:
        yield from _value_faults(value, expected, path)


def did_you_mean(name: str, known: typing.Iterable[str]) -> str:
    """Returns a hint at the closest known name, or at all of a few."""
    names = sorted(known)
    close = difflib.get_close_matches(name[:_SHOWN_CHARACTERS], names, 1)
    if close:
        return f"; did you mean {close[0]!r}?"
    return f"; known are: {', '.join(names)}" if 0 < len(names) <= 12 else ""


def shown(value: Any) -> str:
    """Returns a value as a short text for a message."""
    try:
        text = repr(value)
    except (ValueError, RecursionError):
        return f"a very large {type(value).__name__}"
    if len(text) > _SHOWN_CHARACTERS:
        return text[:_SHOWN_CHARACTERS] + "…"
    return text


def _is_struct(expected: Any) -> bool:
    return inspect.isclass(expected) and issubclass(expected, msgspec.Struct)


@functools.cache
def _fields(
    struct: type[msgspec.Struct],
) -> dict[str, msgspec.structs.FieldInfo]:
    return {field.name: field for field in msgspec.structs.fields(struct)}


def _struct_faults(
    value: Any, struct: type[msgspec.Struct], path: FieldPath
) -> Iterator[ShapeFault]:
    if not isinstance(value, dict):
        yield path, f"must be a table, not {shown(value)}"
        return
    fields = _fields(struct)
    for name in value:
        if name not in fields:
            hint = did_you_mean(name, fields)
            yield (*path, name), f"unknown field {shown(name)}{hint}"
    for name, field in fields.items():
        if name in value:
            yield from shape_faults(value[name], field.type, (*path, name))
            if name == "name":
                yield from _name_faults(value[name], (*path, name))
        elif field.required:
            yield path, f"field {_dotted((*path, name))} must be given"


def _list_faults(
    value: Any, expected: Any, path: FieldPath
) -> Iterator[ShapeFault]:
    if not isinstance(value, list):
        yield path, f"{_dotted(path)} must be a list, not {shown(value)}"
        return
    element = typing.get_args(expected)[0]
    for index, item in enumerate(value):
        yield from shape_faults(item, element, (*path, index))


def _value_faults(
    value: Any, expected: Any, path: FieldPath
) -> Iterator[ShapeFault]:
    if isinstance(value, float) and value != value:
        yield path, f"{_dotted(path)} must be a number, not nan"
        return
    try:
        msgspec.convert(value, expected)
    except msgspec.ValidationError as exc:
        yield path, f"{_dotted(path)} is {shown(value)}: {_rule(expected, exc)}"


def _rule(expected: Any, exc: msgspec.ValidationError) -> str:
    if inspect.isclass(expected) and issubclass(expected, enum.Enum):
        return f"must be one of {', '.join(str(e.value) for e in expected)}"
    return str(exc).replace("`", "").replace("Expected", "expected")


def _name_faults(value: Any, path: FieldPath) -> Iterator[ShapeFault]:
    if isinstance(value, str) and not _NAME.fullmatch(value):
        yield path, f"{_dotted(path)} is {shown(value)}: {_NAME_RULE}"


def _dotted(path: FieldPath) -> str:
    text = ""
    for part in path:
        text += f"[{part}]" if isinstance(part, int) else f".{part}"
    return text.removeprefix(".")
