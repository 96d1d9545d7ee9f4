"""Findings: what is wrong with objects, where, and what would mend it."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pomeloarch_core.objects.keys import ObjectKey

FieldPath = tuple[str | int, ...]


class SourceText(msgspec.Struct, frozen=True):
    """The bytes of one file of objects, and the path to name in findings."""

    path: str
    content: bytes


class Finding(msgspec.Struct, frozen=True, order=True):
    """One thing that is wrong.

    Attributes:
      path: the file.
      line: the line in it, from 1; 0 when there is none to name.
      subject: `kind/name` of the object, or `file`.
      message: what is wrong and what would mend it.
    """

    path: str
    line: int
    subject: str
    message: str

    def __str__(self) -> str:
        """Returns the finding as a line for the terminal."""
        return f"{self.path}:{self.line}: {self.subject}: {self.message}"


class Place(msgspec.Struct, frozen=True):
    """Where an object stands.

    Attributes:
      path: the file.
      line: the line of its header.
      fields: the lines of its fields, also of nested ones.
    """

    path: str
    line: int
    fields: Mapping[FieldPath, int] = {}

    def line_of(self, field: FieldPath) -> int:
        """Returns the line of a field, or of what it is nested in."""
        for length in range(len(field), 0, -1):
            line = self.fields.get(field[:length])
            if line is not None:
                return line
        return self.line


class ObjectLocations(msgspec.Struct, frozen=True):
    """Where each object of a set stands.

    Attributes:
      objects: the places by key.
      otherwise: the path named for an object without a place.
    """

    objects: Mapping[ObjectKey, Place] = {}
    default_path: str = "objects"

    def finding(
        self, key: ObjectKey, message: str, *field: str | int
    ) -> Finding:
        """Returns a finding at an object's field, or at the object."""
        place = self.objects.get(key)
        if place is None:
            return Finding(self.default_path, 0, str(key), message)
        return Finding(place.path, place.line_of(field), str(key), message)
