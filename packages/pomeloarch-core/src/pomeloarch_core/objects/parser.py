"""Parses object files in TOML and reports all findings together."""

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
    ObjectLocation,
    ObjectLocations,
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
from pomeloarch_core.objects.schema import (
    abbreviate,
    find_schema_errors,
    spelling_hint,
)

MAX_FILE_BYTES = 1_000_000
MAX_OBJECT_BYTES = 64_000
MAX_FINDINGS_PER_OBJECT = 50
# Reading stops at this number of findings in all files together; these are
# enough to correct first.
MAX_FINDINGS = 1_000

_KINDS = frozenset(kind.value for kind in Kind)
_AT_LINE_SUFFIX = re.compile(r" \(at line (\d+), column (\d+)\)$")
_AT_END_SUFFIX = " (at end of document)"
_NAME_FIELD = re.compile(r"""^\s*name\s*=\s*["']([^"'\n]*)["']""", re.MULTILINE)


class ParsedObjects(msgspec.Struct, frozen=True):
    """The objects parsed from some files.

    Attributes:
      objects: the objects that match their schema.
      locations: where they are defined.
      unreadable: keys of the objects that are not TOML or do not match their
        schema.
      unreadable_kinds: kinds with an object whose name could not be read, or
        all kinds if a file was not read to its end.
    """

    objects: ObjectSet
    locations: ObjectLocations
    unreadable: frozenset[ObjectKey] = frozenset()
    unreadable_kinds: frozenset[str] = frozenset()

    def is_complete(self, kind: Kind) -> bool:
        """Returns whether every object of a kind could be read."""
        if kind.value in self.unreadable_kinds:
            return False
        return all(key.kind != kind.value for key in self.unreadable)


def parse_documents(
    texts: Sequence[SourceText],
) -> Result[ParsedObjects, list[Finding]]:
    """Parses object files.

    Args:
      texts: the files.

    Returns:
      The objects with their locations, or every finding on every file.
    """
    parsed, findings = parse_leniently(texts)
    return Err(findings) if findings else Ok(parsed)


def parse_leniently(
    texts: Sequence[SourceText],
) -> tuple[ParsedObjects, list[Finding]]:
    """Returns the objects that could be read, and all findings."""
    reader = _Reader()
    for text in texts:
        reader.read(text)
    return reader.parsed(), sorted(reader.findings)


class _Reader:
    """Collects objects and findings from several files."""

    def __init__(self) -> None:
        self.findings: list[Finding] = []
        self._items: dict[ObjectKey, NamedObject] = {}
        self._locations: dict[ObjectKey, ObjectLocation] = {}
        self._unreadable: set[ObjectKey] = set()
        self._unreadable_kinds: set[str] = set()

    def parsed(self) -> ParsedObjects:
        """Returns the objects read so far."""
        return ParsedObjects(
            object_set(self._items),
            ObjectLocations(self._locations),
            frozenset(self._unreadable),
            frozenset(self._unreadable_kinds),
        )

    def read(self, source: SourceText) -> None:
        """Reads one file, unless the limit of findings is reached."""
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
        findings_left = MAX_FINDINGS - len(self.findings)
        header_findings = _check_headers(source.path, blocks)
        self.findings += itertools.islice(header_findings, findings_left)
        for block in blocks:
            if len(self.findings) >= MAX_FINDINGS:
                self._stop_reading(source.path)
                return
            if block.kind in _KINDS and not block.is_nested:
                self._read_block(source.path, block)

    def _stop_reading(self, path: str) -> None:
        line = self.findings[-1].line
        self._skip_file(path, line, "more findings may follow; mend the others")

    def _skip_file(self, path: str, line: int, message: str) -> None:
        self.findings.append(Finding(path, line, "file", message))
        self._unreadable_kinds |= _KINDS

    def _read_block(self, path: str, block: Block) -> None:
        name = _NAME_FIELD.search(block.text)
        key = ObjectKey(block.kind, name.group(1) if name else "?")
        table = _decode_block(path, block, key)
        if isinstance(table, Finding):
            self._record_failure(key, [table])
            return
        if isinstance(table.get("name"), str):
            key = ObjectKey(block.kind, table["name"])
        struct = STRUCT_OF_KIND[Kind(block.kind)]
        location = ObjectLocation(path, block.line, block.fields)
        is_duplicate = self._report_duplicate(key, location)
        errors = list(
            itertools.islice(
                find_schema_errors(table, struct), MAX_FINDINGS_PER_OBJECT
            )
        )
        if errors:
            self._record_failure(key, _schema_findings(location, key, errors))
        elif not is_duplicate:
            self._items[key] = msgspec.convert(table, struct)

    def _report_duplicate(
        self, key: ObjectKey, location: ObjectLocation
    ) -> bool:
        earlier = self._locations.setdefault(key, location)
        if earlier is location or key.name == "?":
            return False
        message = (
            f"the name is taken by {earlier.path}:{earlier.line}; "
            "rename or remove one of the two"
        )
        line = location.line_of(("name",))
        self.findings.append(Finding(location.path, line, str(key), message))
        return True

    def _record_failure(self, key: ObjectKey, findings: list[Finding]) -> None:
        self.findings += findings
        if key.name == "?":
            self._unreadable_kinds.add(key.kind)
        else:
            self._unreadable.add(key)


def _check_headers(path: str, blocks: list[Block]) -> Iterator[Finding]:
    """Yields findings on the headers of a file."""
    preamble = blocks[0]
    for field, line in preamble.fields.items():
        yield Finding(
            path,
            line,
            "file",
            f"{abbreviate(field[0])} stands above every header; "
            "put it below one, such as [[organisation]]",
        )
    if not preamble.fields and _has_statement(preamble.text):
        yield Finding(path, 1, "file", "the text is not TOML")
    seen: set[str] = set()
    for block in blocks[1:]:
        yield from _check_header(path, block, seen)
        seen.add(block.kind)


def _check_header(path: str, block: Block, seen: set[str]) -> Iterator[Finding]:
    if block.kind not in _KINDS:
        hint = spelling_hint(block.kind, _KINDS)
        message = f"unknown kind {abbreviate(block.kind)}{hint}"
        yield Finding(path, block.line, "file", message)
    elif block.is_nested:
        message = (
            f"a table of {block.kind} stands before its header; "
            f"put it below [[{block.kind}]]"
        )
        yield Finding(path, block.line, "file", message)
    elif not block.is_array and block.kind in seen:
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
    """Returns the table of a block, or a finding on its TOML."""
    if len(block.text) > MAX_OBJECT_BYTES:
        message = f"the object is longer than {MAX_OBJECT_BYTES:,} characters"
        return Finding(path, block.line, str(key), message)
    if block.deep_key_line:
        message = f"a dotted key has more than {MAX_KEY_PARTS} parts"
        return Finding(path, block.deep_key_line, str(key), message)
    try:
        found = tomllib.loads(f"{block.text}\n")[block.kind]
    except RecursionError:
        message = "tables and lists are nested too deeply"
        return Finding(path, block.line, str(key), message)
    except (tomllib.TOMLDecodeError, KeyError) as exc:
        line, message = _locate_toml_error(str(exc), block)
        return Finding(path, line, str(key), message)
    except ValueError:
        message = "a number has too many digits"
        return Finding(path, block.line, str(key), message)
    table = found[0] if isinstance(found, list) else found
    return dict(table)


def _locate_toml_error(message: str, block: Block) -> tuple[int, str]:
    """Returns the line in the file and the finding text of a TOML error."""
    match = _AT_LINE_SUFFIX.search(message)
    if match is not None:
        line = block.line + int(match.group(1)) - 1
        text = message[: match.start()]
        return line, f"not TOML: {text} (column {match.group(2)})"
    if message.endswith(_AT_END_SUFFIX):
        last = block.line + block.text.rstrip().count("\n")
        return last, f"not TOML: {message.removesuffix(_AT_END_SUFFIX)}"
    return block.line, f"not TOML: {message}"


def _schema_findings(
    location: ObjectLocation,
    key: ObjectKey,
    errors: list[tuple[FieldPath, str]],
) -> list[Finding]:
    return [
        Finding(location.path, location.line_of(path), str(key), message)
        for path, message in errors
    ]
