"""Checks what crosses objects, and reports all findings together."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from result import Err, Ok, Result

from pomeloarch_core.objects.check_classes import class_findings
from pomeloarch_core.objects.check_guarantees import guarantee_findings
from pomeloarch_core.objects.check_references import reference_findings
from pomeloarch_core.objects.check_services import service_findings
from pomeloarch_core.objects.findings import (
    Finding,
    ObjectLocations,
    SourceText,
)
from pomeloarch_core.objects.model import ObjectSet
from pomeloarch_core.objects.parser import ParsedObjects, parse_leniently

_CHECKS: tuple[Callable[[ParsedObjects], Iterable[Finding]], ...] = (
    reference_findings,
    guarantee_findings,
    class_findings,
    service_findings,
)


def check(objects: ObjectSet, places: ObjectLocations) -> list[Finding]:
    """Returns every finding on a set of well-shaped objects.

    Args:
      objects: the whole set.
      places: where the objects stand.
    """
    return check_partly(ParsedObjects(objects, places))


def check_partly(parsed: ParsedObjects) -> list[Finding]:
    """Returns the findings on objects of which some could not be read."""
    return sorted(finding for find in _CHECKS for finding in find(parsed))


def check_documents(
    texts: Sequence[SourceText],
) -> Result[ParsedObjects, list[Finding]]:
    """Reads and checks files of objects.

    Args:
      texts: the files; together they are the whole set.

    Returns:
      The objects with their places, or every finding.
    """
    parsed, findings = parse_leniently(texts)
    findings = sorted(findings + check_partly(parsed))
    return Err(findings) if findings else Ok(parsed)
