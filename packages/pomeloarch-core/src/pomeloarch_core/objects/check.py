"""Checks the rules that span several objects, and reports all findings."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from result import Err, Ok, Result

from pomeloarch_core.objects.check_guarantees import check_guarantees
from pomeloarch_core.objects.check_job_classes import check_job_classes
from pomeloarch_core.objects.check_references import check_references
from pomeloarch_core.objects.check_services import check_services
from pomeloarch_core.objects.findings import (
    Finding,
    ObjectLocations,
    SourceText,
)
from pomeloarch_core.objects.model import ObjectSet
from pomeloarch_core.objects.parser import ParsedObjects, parse_leniently

_CHECKS: tuple[Callable[[ParsedObjects], Iterable[Finding]], ...] = (
    check_references,
    check_guarantees,
    check_job_classes,
    check_services,
)


def check_objects(
    objects: ObjectSet, locations: ObjectLocations
) -> list[Finding]:
    """Checks a complete set of objects, each of which matches its schema.

    Args:
      objects: the complete set.
      locations: where the objects are defined.

    Returns:
      Every finding, in the order of files and lines.
    """
    return check_parsed(ParsedObjects(objects, locations))


def check_parsed(parsed: ParsedObjects) -> list[Finding]:
    """Returns the findings on objects, some of which may be unreadable."""
    return sorted(finding for check in _CHECKS for finding in check(parsed))


def check_documents(
    texts: Sequence[SourceText],
) -> Result[ParsedObjects, list[Finding]]:
    """Parses and checks object files.

    Args:
      texts: the files, which together hold the complete set.

    Returns:
      The objects with their locations, or every finding.
    """
    parsed, findings = parse_leniently(texts)
    findings = sorted(findings + check_parsed(parsed))
    return Err(findings) if findings else Ok(parsed)
