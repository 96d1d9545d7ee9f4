"""Finds the lines of tables and keys in TOML, which tomllib does not tell.

The scanner accepts whatever it is given: text that is not TOML gives
blocks at which the TOML parser then finds the fault.
"""

from __future__ import annotations

import bisect
import re
from collections.abc import Iterator

import msgspec

from pomeloarch_core.objects.findings import FieldPath
from pomeloarch_core.objects.keys import Kind

_BARE_OR_QUOTED = r"""(?:[A-Za-z0-9_-]+|"(?:[^"\\\n]|\\[^\n])*+"|'[^'\n]*+')"""
_KEY = re.compile(
    rf"[ \t]*+({_BARE_OR_QUOTED}(?:[ \t]*+\.[ \t]*+{_BARE_OR_QUOTED})*+)[ \t]*+"
)
# Decoding takes time by the square of a dotted key's parts.
MAX_KEY_PARTS = 8
_KEY_PART = re.compile(_BARE_OR_QUOTED)
_BLANK = re.compile(r"(?:[ \t\r\n]++|#[^\n]*+)*+")
_REST_OF_LINE = re.compile(r"[^\n]*+\n?")
# No value can hold a header, so that one ends a value without its end.
_OBJECT_HEADER = re.compile(
    rf"[ \t]*+\[\[?[ \t]*+(?:{'|'.join(kind.value for kind in Kind)})\b"
)
# A string without its end reaches to the end of its line or of the text.
_VALUE_TOKEN = re.compile(
    r'"""(?:[^"\\]|\\.|"(?!""))*+(?:"""|\\?\Z|"{1,2}\Z)'
    r"|'''(?:[^']|'(?!''))*+(?:'''|'{1,2}\Z|\Z)"
    r'|"(?:[^"\\\n]|\\[^\n])*+"?'
    r"|'[^'\n]*+'?"
    r"|\#[^\n]*+"
    r"|[\[\]{}\n]"
    r"|[^\"'\#\[\]{}\n]++",
    re.DOTALL,
)


class Block(msgspec.Struct):
    """The text of one object: its header and all up to the next object's.

    Attributes:
      kind: the first part of its header, empty for text above all headers.
      line: the line of its header.
      text: its text.
      array: whether its header has two brackets.
      nested: whether its header names a table within a table.
      fields: lines of its fields, also of nested ones.
      deep_line: the line of a dotted key with too many parts, 0 without.
    """

    kind: str
    line: int
    text: str = ""
    array: bool = False
    nested: bool = False
    fields: dict[FieldPath, int] = {}
    deep_line: int = 0


def scan(text: str) -> list[Block]:
    """Splits a text into the blocks of its objects."""
    return _Scanner(text).blocks()


class _Scanner:
    def __init__(self, text: str) -> None:
        self._text = text
        self._line_starts = [0]
        self._line_starts += [m.end() for m in re.finditer("\n", text)]
        self._block = Block("", 1)
        self._table: FieldPath = ()
        self._counts: dict[FieldPath, int] = {}

    def blocks(self) -> list[Block]:
        """Returns the blocks in their order, the one above headers first."""
        starts: list[tuple[int, Block]] = [(0, self._block)]
        pos = 0
        while (pos := self._skip(_BLANK, pos)) < len(self._text):
            if self._text[pos] != "[":
                pos = self._key_value(pos)
                continue
            if self._header(pos):
                starts.append((pos, self._block))
            pos = self._skip(_REST_OF_LINE, pos)
        ends = [start for start, _ in starts[1:]] + [len(self._text)]
        for (start, block), end in zip(starts, ends, strict=True):
            block.text = self._text[start:end]
        return [block for _, block in starts]

    def _header(self, pos: int) -> bool:
        """Reads a header; returns whether it begins a new block."""
        array = self._text.startswith("[[", pos)
        match = _KEY.match(self._text, pos + (2 if array else 1))
        parts = _parts(match.group(1)) if match else ("",)
        line = self._line(pos)
        kind, rest = parts[0], parts[1:]
        if rest and kind == self._block.kind:
            self._note_depth(len(parts), line)
            self._nested_table(rest, array, line)
            return False
        self._block = Block(kind, line, array=array, nested=bool(rest))
        self._block.fields = {}
        self._table, self._counts = rest, {}
        self._note_depth(len(parts), line)
        return True

    def _nested_table(self, rest: FieldPath, array: bool, line: int) -> None:
        if array:
            index = self._counts.get(rest, 0)
            self._counts[rest] = index + 1
            rest = (*rest, index)
        self._table = rest
        self._block.fields[rest] = line

    def _key_value(self, pos: int) -> int:
        match = _KEY.match(self._text, pos)
        if match is None:
            return self._skip(_REST_OF_LINE, pos)
        parts = _parts(match.group(1))
        self._note_depth(len(parts), self._line(pos))
        path = (*self._table, *parts)
        self._block.fields.setdefault(path, self._line(pos))
        return self._skip_value(match.end(), path)

    def _skip_value(self, pos: int, path: FieldPath) -> int:
        depth = element = dots = 0
        for match in _tokens(self._text, pos):
            token = match.group()
            if token == "\n" and (
                depth <= 0 or _OBJECT_HEADER.match(self._text, match.end())
            ):
                return match.end()
            if token == "{" and depth == 1:
                line = self._line(match.start())
                self._block.fields[*path, element] = line
                element += 1
            depth += (token in "[{") - (token in "]}")
            dots = _dots(dots, token)
            if dots >= MAX_KEY_PARTS:
                self._note_depth(dots + 1, self._line(match.start()))
        return len(self._text)

    def _note_depth(self, parts: int, line: int) -> None:
        if parts > MAX_KEY_PARTS and not self._block.deep_line:
            self._block.deep_line = line

    def _skip(self, pattern: re.Pattern[str], pos: int) -> int:
        match = pattern.match(self._text, pos)
        return match.end() if match else pos

    def _line(self, pos: int) -> int:
        return bisect.bisect_right(self._line_starts, pos)


def _tokens(text: str, pos: int) -> Iterator[re.Match[str]]:
    while match := _VALUE_TOKEN.match(text, pos):
        yield match
        pos = match.end()


def _dots(before: int, token: str) -> int:
    """Returns how many dots a key within a value may have so far."""
    if token in "[]{}\n":
        return 0
    if token[0] in "\"'#":
        return before
    last = token.rpartition(",")
    return last[2].count(".") + (0 if last[1] else before)


def _parts(key: str) -> tuple[str, ...]:
    return tuple(part.strip("\"'") for part in _KEY_PART.findall(key))
