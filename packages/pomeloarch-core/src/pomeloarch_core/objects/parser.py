"""Reads files of objects in TOML and reports all findings together."""

from __future__ import annotations

import itertools
import re
import tomllib
from collections.abc import Iterator, Sequence
from typing import Any

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.objects.findings import (
    FieldPath,
    Finding,
    ObjectLocations,
    Place,
    SourceText,
)
from pomeloarch_core.objects.keys import (
    STRUCT_OF_KIND,
    Kind,
    NamedObject,
    ObjectKey,
    object_set,
)
from pomeloarch_core.objects.model import ObjectSet
from pomeloarch_core.objects.scanner import MAX_KEY_PARTS, Block, scan
from pomeloarch_core.objects.shape import did_you_mean, shape_faults, shown

MAX_FILE_BYTES = 1_000_000
MAX_OBJECT_BYTES = 64_000
MAX_FINDINGS_PER_OBJECT = 50
# Files with more are not read on: the first ones are plenty to mend.
MAX_FINDINGS = 1_000

_KINDS = frozenset(kind.value for kind in Kind)
_AT_LINE = re.compile(r" \(at line (\d+), column (\d+)\)$")
_AT_END = " (at end of document)"
_NAME_LINE = re.compile(r"""^\s*name\s*=\s*["']([^"'\n]*)["']""", re.MULTILINE)


class ParsedObjects(msgspec.Struct, frozen=True):
    """The objects of some files.

    Attributes:
      objects: the objects that could be read.
      places: where they stand.
      unread: names of objects that are there but could not be read.
      unread_kinds: kinds with an object whose name could not be read.
    """

    objects: ObjectSet
    places: ObjectLocations
    unread: frozenset[ObjectKey] = frozenset()
    unread_kinds: frozenset[str] = frozenset()

    def complete(self, kind: Kind) -> bool:
        """Returns whether all objects of a kind could be read."""
        if kind.value in self.unread_kinds:
            return False
        return all(key.kind != kind.value for key in self.unread)


def parse_documents(
    texts: Sequence[SourceText],
) -> Result[ParsedObjects, list[Finding]]:
    """Reads files of objects.

    Args:
      texts: the files.

    Returns:
      The objects with their places, or every finding of every file.
    """
    parsed, findings = parse_leniently(texts)
    return Err(findings) if findings else Ok(parsed)


def parse_leniently(
    texts: Sequence[SourceText],
) -> tuple[ParsedObjects, list[Finding]]:
    """Reads what can be read, and returns all findings with it."""
    reader = _Reader()
    for text in texts:
        reader.read(text)
    return reader.parsed(), sorted(reader.findings)


class _Reader:
    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self._items: dict[ObjectKey, NamedObject] = {}
        self._places: dict[ObjectKey, Place] = {}
        self._unread: set[ObjectKey] = set()
        self._unread_kinds: set[str] = set()

    def parsed(self) -> ParsedObjects:
        """Returns what was read."""
        return ParsedObjects(
            object_set(self._items),
            ObjectLocations(self._places),
            frozenset(self._unread),
            frozenset(self._unread_kinds),
        )

    def read(self, source: SourceText) -> None:
        """Reads one file, unless there are findings enough."""
        if len(self.findings) >= MAX_FINDINGS:
            return
        if len(source.content) > MAX_FILE_BYTES:
            message = (
                f"the file is larger than {MAX_FILE_BYTES:,} bytes; "
                "split it into smaller files"
            )
            self._skip_file(source.path, 1, message)
            return
        try:
            text = source.content.decode("utf-8")
        except UnicodeDecodeError as exc:
            line = source.content.count(b"\n", 0, exc.start) + 1
            self._skip_file(
                source.path, line, "the file is not UTF-8; save it as UTF-8"
            )
            return
        blocks = scan(text.replace("\r\n", "\n"))
        room = MAX_FINDINGS - len(self.findings)
        layout = _layout_findings(source.path, blocks)
        self.findings += itertools.islice(layout, room)
        for block in blocks:
            if len(self.findings) >= MAX_FINDINGS:
                self._stop(source.path)
                return
            if block.kind in _KINDS and not block.nested:
                self._read_block(source.path, block)

    def _stop(self, path: str) -> None:
        line = self.findings[-1].line
        self._skip_file(path, line, "more findings may follow; mend the others")

    def _skip_file(self, path: str, line: int, message: str) -> None:
        self.findings.append(Finding(path, line, "file", message))
        self._unread_kinds |= _KINDS

    def _read_block(self, path: str, block: Block) -> None:
        name = _NAME_LINE.search(block.text)
        key = ObjectKey(block.kind, name.group(1) if name else "?")
        table = _decode_block(path, block, key)
        if isinstance(table, Finding):
            self._fail(key, [table])
            return
        if isinstance(table.get("name"), str):
            key = ObjectKey(block.kind, table["name"])
        struct = STRUCT_OF_KIND[Kind(block.kind)]
        place = Place(path, block.line, block.fields)
        taken = self._taken(key, place)
        faults = list(
            itertools.islice(
                shape_faults(table, struct), MAX_FINDINGS_PER_OBJECT
            )
        )
        if faults:
            self._fail(key, _shape_findings(place, key, faults))
        elif not taken:
            self._items[key] = msgspec.convert(table, struct)

    def _taken(self, key: ObjectKey, place: Place) -> bool:
        first = self._places.setdefault(key, place)
        if first is place or key.name == "?":
            return False
        message = (
            f"the name is taken by {first.path}:{first.line}; "
            "rename or remove one of the two"
        )
        line = place.line_of(("name",))
        self.findings.append(Finding(place.path, line, str(key), message))
        return True

    def _fail(self, key: ObjectKey, findings: list[Finding]) -> None:
        self.findings += findings
        if key.name == "?":
            self._unread_kinds.add(key.kind)
        else:
            self._unread.add(key)


def _layout_findings(path: str, blocks: list[Block]) -> Iterator[Finding]:
    """Yields what is wrong with the headers of a file."""
    above = blocks[0]
    for field, line in above.fields.items():
        yield Finding(
            path,
            line,
            "file",
            f"{shown(field[0])} stands above every header; "
            "put it below one, such as [[organisation]]",
        )
    if not above.fields and _has_statement(above.text):
        yield Finding(path, 1, "file", "the text is not TOML")
    seen: set[str] = set()
    for block in blocks[1:]:
        yield from _header_findings(path, block, seen)
        seen.add(block.kind)


def _header_findings(
    path: str, block: Block, seen: set[str]
) -> Iterator[Finding]:
    if block.kind not in _KINDS:
        hint = did_you_mean(block.kind, _KINDS)
        message = f"unknown kind {shown(block.kind)}{hint}"
        yield Finding(path, block.line, "file", message)
    elif block.nested:
        message = (
            f"a table of {block.kind} stands before its header; "
            f"put it below [[{block.kind}]]"
        )
        yield Finding(path, block.line, "file", message)
    elif not block.array and block.kind in seen:
        message = (
            f"[{block.kind}] stands here for the second time; "
            f"write [[{block.kind}]] for each"
        )
        yield Finding(path, block.line, "file", message)


def _has_statement(text: str) -> bool:
    lines = (line.strip() for line in text.splitlines())
    return any(line and not line.startswith("#") for line in lines)


def _decode_block(
    path: str, block: Block, key: ObjectKey
) -> dict[str, Any] | Finding:
    """Returns the table of a block, or what is wrong with its TOML."""
    if len(block.text) > MAX_OBJECT_BYTES:
        message = f"the object is longer than {MAX_OBJECT_BYTES:,} characters"
        return Finding(path, block.line, str(key), message)
    if block.deep_line:
        message = f"a dotted key has more than {MAX_KEY_PARTS} parts"
        return Finding(path, block.deep_line, str(key), message)
    try:
        found = tomllib.loads(f"{block.text}\n")[block.kind]
    except RecursionError:
        message = "tables and lists are nested too deeply"
        return Finding(path, block.line, str(key), message)
    except (tomllib.TOMLDecodeError, KeyError) as exc:
        line, message = _located(str(exc), block)
        return Finding(path, line, str(key), message)
    except ValueError:
        message = "a number has too many digits"
        return Finding(path, block.line, str(key), message)
    table = found[0] if isinstance(found, list) else found
    return dict(table)


def _located(message: str, block: Block) -> tuple[int, str]:
    """Returns the line in the file and the message of a TOML error."""
    match = _AT_LINE.search(message)
    if match is not None:
        line = block.line + int(match.group(1)) - 1
        text = message[: match.start()]
        return line, f"not TOML: {text} (column {match.group(2)})"
    if message.endswith(_AT_END):
        last = block.line + block.text.rstrip().count("\n")
        return last, f"not TOML: {message.removesuffix(_AT_END)}"
    return block.line, f"not TOML: {message}"


def _shape_findings(
    place: Place, key: ObjectKey, faults: list[tuple[FieldPath, str]]
) -> list[Finding]:
    return [
        Finding(place.path, place.line_of(path), str(key), message)
        for path, message in faults
    ]
