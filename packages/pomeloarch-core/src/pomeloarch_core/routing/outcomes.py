"""Whether a request ran, concluded from the results of its attempts."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from pomeloarch_core.routing.messages import AttemptResult


class RunStatus(enum.Enum):
    """What is certain about a request without a complete answer."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


_CERTAINLY_NOT_RUN = frozenset({AttemptResult.NOT_SENT, AttemptResult.REFUSED})
_RETRYABLE_IF_IDEMPOTENT = frozenset(
    {AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.ABANDONED}
)


def determine_run_status(results: Iterable[AttemptResult]) -> RunStatus:
    """Returns what is certain after all attempts of a request have ended.

    >>> determine_run_status([AttemptResult.NOT_SENT, AttemptResult.REFUSED])
    <RunStatus.NOT_RUN: 'not_run'>
    >>> determine_run_status([AttemptResult.NOT_SENT, AttemptResult.BROKEN])
    <RunStatus.UNKNOWN: 'unknown'>
    """
    if all(result in _CERTAINLY_NOT_RUN for result in results):
        return RunStatus.NOT_RUN
    return RunStatus.UNKNOWN


def may_retry(result: AttemptResult, *, idempotent: bool) -> bool:
    """Returns whether another attempt is safe after one with this result."""
    if result in _CERTAINLY_NOT_RUN:
        return True
    return idempotent and result in _RETRYABLE_IF_IDEMPOTENT
