"""Findings: what is wrong with objects, where, and how to correct it."""

from __future__ import annotations

from collections.abc import Mapping

import msgspec

from pomeloarch_core.objects.keys import ObjectKey

FieldPath = tuple[str | int, ...]


class SourceText(msgspec.Struct, frozen=True):
    """The content of one object file, and the path to name in findings."""

    path: str
    content: bytes


class Finding(msgspec.Struct, frozen=True, order=True):
    """One problem with an object or a file.

    Attributes:
      path: the file.
      line: the line in the file, from 1; 0 when it is not known.
      subject: the object as `kind/name`, or `file`.
      message: what is wrong and how to correct it.
    """

    path: str
    line: int
    subject: str
    message: str

    def __str__(self) -> str:
        """Returns the finding as one line of text."""
        return f"{self.path}:{self.line}: {self.subject}: {self.message}"


class ObjectLocation(msgspec.Struct, frozen=True):
    """Where an object is defined.

    Attributes:
      path: the file.
      line: the line of the object's header.
      fields: the lines of its fields, including nested ones.
    """

    path: str
    line: int
    fields: Mapping[FieldPath, int] = {}

    def line_of(self, field: FieldPath) -> int:
        """Returns the line of a field, or of the nearest field around it."""
        for length in range(len(field), 0, -1):
            line = self.fields.get(field[:length])
            if line is not None:
                return line
        return self.line


class ObjectLocations(msgspec.Struct, frozen=True):
    """Where each object of a set is defined.

    Attributes:
      objects: the locations by key.
      default_path: the path to name for an object without a location.
    """

    objects: Mapping[ObjectKey, ObjectLocation] = {}
    default_path: str = "objects"

    def finding_at(
        self, key: ObjectKey, message: str, *field: str | int
    ) -> Finding:
        """Returns a finding at a field of an object, or at the object."""
        location = self.objects.get(key)
        if location is None:
            return Finding(self.default_path, 0, str(key), message)
        return Finding(
            location.path, location.line_of(field), str(key), message
        )
