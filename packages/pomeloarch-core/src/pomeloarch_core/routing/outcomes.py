"""Whether a request ran, from what its tries put on the wire."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from pomeloarch_core.routing.messages import AttemptResult


class RunStatus(enum.Enum):
    """What is certain of a request that has no whole answer."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


_CERTAINLY_NOT_RUN = frozenset({AttemptResult.NOT_SENT, AttemptResult.REFUSED})
_WORTH_A_RETRY = frozenset(
    {AttemptResult.FAILED, AttemptResult.BROKEN, AttemptResult.ABANDONED}
)


def determine_run_status(results: Iterable[AttemptResult]) -> RunStatus:
    """Returns what is certain after all tries of a request have ended.

    >>> what_ran([TryResult.NOT_SENT, TryResult.REFUSED])
    <Ran.NOT_RUN: 'not_run'>
    >>> what_ran([TryResult.NOT_SENT, TryResult.BROKEN])
    <Ran.UNKNOWN: 'unknown'>
    """
    if all(result in _CERTAINLY_NOT_RUN for result in results):
        return RunStatus.NOT_RUN
    return RunStatus.UNKNOWN


def may_retry(result: AttemptResult, *, idempotent: bool) -> bool:
    """Returns whether another try is safe after one that ended so."""
    if result in _CERTAINLY_NOT_RUN:
        return True
    return idempotent and result in _WORTH_A_RETRY
