"""Finds the lines of tables and keys in TOML, which tomllib does not report.

The scanner accepts any text: text that is not TOML results in blocks in which
the TOML parser then finds the error.
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
# tomllib takes time proportional to the square of a dotted key's parts.
MAX_KEY_PARTS = 8
_KEY_PART = re.compile(_BARE_OR_QUOTED)
_BLANK = re.compile(r"(?:[ \t\r\n]++|#[^\n]*+)*+")
_REST_OF_LINE = re.compile(r"[^\n]*+\n?")
# No value can contain an object header, so a header ends an unclosed value.
_OBJECT_HEADER = re.compile(
    rf"[ \t]*+\[\[?[ \t]*+(?:{'|'.join(kind.value for kind in Kind)})\b"
)
# An unclosed string extends to the end of its line or of the text.
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
    """The text of one object, from its header to the next object's header.

    Attributes:
      kind: the first part of the header; empty for text above all headers.
      line: the line of the header, from 1.
      text: the text, including the header.
      is_array: whether the header has two brackets.
      is_nested: whether the header names a table within a table.
      fields: the lines of the fields, including nested ones.
      deep_key_line: the line of the first dotted key with too many parts; 0
        when there is none.
    """

    kind: str
    line: int
    text: str = ""
    is_array: bool = False
    is_nested: bool = False
    fields: dict[FieldPath, int] = {}
    deep_key_line: int = 0


def scan(text: str) -> list[Block]:
    """Splits a text into the blocks of its objects.

    The first block holds the text above all headers.
    """
    return _Scanner(text).blocks()


class _Scanner:
    def __init__(self, text: str) -> None:
        self._text = text
        self._line_starts = [0]
        self._line_starts += [m.end() for m in re.finditer("\n", text)]
        self._block = Block("", 1)
        self._table_path: FieldPath = ()
        self._element_counts: dict[FieldPath, int] = {}

    def blocks(self) -> list[Block]:
        """Returns the blocks in order, the text above all headers first."""
        starts: list[tuple[int, Block]] = [(0, self._block)]
        pos = 0
        while (pos := self._skip(_BLANK, pos)) < len(self._text):
            if self._text[pos] != "[":
                pos = self._read_key_value(pos)
                continue
            if self._read_header(pos):
                starts.append((pos, self._block))
            pos = self._skip(_REST_OF_LINE, pos)
        ends = [start for start, _ in starts[1:]] + [len(self._text)]
        for (start, block), end in zip(starts, ends, strict=True):
            block.text = self._text[start:end]
        return [block for _, block in starts]

    def _read_header(self, pos: int) -> bool:
        """Reads a header; returns whether it starts a new block."""
        is_array = self._text.startswith("[[", pos)
        match = _KEY.match(self._text, pos + (2 if is_array else 1))
        parts = _split_key(match.group(1)) if match else ("",)
        line = self._line_at(pos)
        kind, path_in_object = parts[0], parts[1:]
        if path_in_object and kind == self._block.kind:
            self._record_key_depth(len(parts), line)
            self._add_nested_table(path_in_object, is_array, line)
            return False
        self._block = Block(
            kind, line, is_array=is_array, is_nested=bool(path_in_object)
        )
        self._block.fields = {}
        self._table_path, self._element_counts = path_in_object, {}
        self._record_key_depth(len(parts), line)
        return True

    def _add_nested_table(
        self, path_in_object: FieldPath, is_array: bool, line: int
    ) -> None:
        if is_array:
            index = self._element_counts.get(path_in_object, 0)
            self._element_counts[path_in_object] = index + 1
            path_in_object = (*path_in_object, index)
        self._table_path = path_in_object
        self._block.fields[path_in_object] = line

    def _read_key_value(self, pos: int) -> int:
        match = _KEY.match(self._text, pos)
        if match is None:
            return self._skip(_REST_OF_LINE, pos)
        parts = _split_key(match.group(1))
        self._record_key_depth(len(parts), self._line_at(pos))
        path = (*self._table_path, *parts)
        self._block.fields.setdefault(path, self._line_at(pos))
        return self._skip_value(match.end(), path)

    def _skip_value(self, pos: int, path: FieldPath) -> int:
        depth = element_index = dot_count = 0
        for match in _tokens(self._text, pos):
            token = match.group()
            if token == "\n" and (
                depth <= 0 or _OBJECT_HEADER.match(self._text, match.end())
            ):
                return match.end()
            if token == "{" and depth == 1:
                line = self._line_at(match.start())
                self._block.fields[*path, element_index] = line
                element_index += 1
            depth += (token in "[{") - (token in "]}")
            dot_count = _count_dots(dot_count, token)
            if dot_count >= MAX_KEY_PARTS:
                self._record_key_depth(
                    dot_count + 1, self._line_at(match.start())
                )
        return len(self._text)

    def _record_key_depth(self, parts: int, line: int) -> None:
        if parts > MAX_KEY_PARTS and not self._block.deep_key_line:
            self._block.deep_key_line = line

    def _skip(self, pattern: re.Pattern[str], pos: int) -> int:
        match = pattern.match(self._text, pos)
        return match.end() if match else pos

    def _line_at(self, pos: int) -> int:
        return bisect.bisect_right(self._line_starts, pos)


def _tokens(text: str, pos: int) -> Iterator[re.Match[str]]:
    while match := _VALUE_TOKEN.match(text, pos):
        yield match
        pos = match.end()


def _count_dots(before: int, token: str) -> int:
    """Returns how many dots a key within a value may have so far.

    Dots of numbers are counted as well; a comma, a bracket or the end of the
    line starts a new count.
    """
    if token in "[]{}\n":
        return 0
    if token[0] in "\"'#":
        return before
    last = token.rpartition(",")
    return last[2].count(".") + (0 if last[1] else before)


def _split_key(key: str) -> tuple[str, ...]:
    return tuple(part.strip("\"'") for part in _KEY_PART.findall(key))
