"""The problem documents of refused and failed requests."""

from __future__ import annotations

import msgspec

from pomeloarch_core.routing import Refusal, RefusalReason
from pomeloarch_node.problems import Problem, RequestOutcome

_STATUS_AND_TITLE = {
    RefusalReason.UNKNOWN_SERVICE: (404, "There is no such service or path"),
    RefusalReason.UNKNOWN_ORGANISATION: (
        403,
        "Pomelo-Organisation names no organisation of the configuration",
    ),
    RefusalReason.NO_CONFIGURATION: (503, "No configuration is known yet"),
    RefusalReason.BAD_REQUEST: (400, "The request can't be understood"),
    RefusalReason.BODY_TOO_LARGE: (413, "The body is too large"),
    RefusalReason.BODY_TOO_SLOW: (408, "The body did not arrive in time"),
    RefusalReason.DRAINING: (503, "This entry host is stopping"),
    RefusalReason.OVERLOADED: (429, "Too much work is waiting"),
    RefusalReason.DEADLINE_TOO_NEAR: (
        503,
        "The work would not be finished by its deadline",
    ),
    RefusalReason.DEADLINE_PASSED: (
        504,
        "The deadline passed before the work could start",
    ),
    RefusalReason.MEMORY: (503, "No memory is free for the request"),
    RefusalReason.CONNECTIONS: (503, "Too many requests are held at once"),
    RefusalReason.NO_EXECUTOR: (503, "No executor can take the work"),
    RefusalReason.EXECUTORS_REFUSED: (503, "The executors refused the work"),
    RefusalReason.EXECUTOR_FAILED: (502, "The executor gave no whole answer"),
    RefusalReason.INCOMPLETE_ANSWER: (502, "The answer was not complete"),
    RefusalReason.CLAIMS_UNAVAILABLE: (
        503,
        "The idempotency key can't be claimed at present",
    ),
    RefusalReason.CLAIMS_OVER_BUDGET: (
        429,
        "Too many idempotency keys at once",
    ),
    RefusalReason.KEY_REUSED: (
        422,
        "The idempotency key was used for another request",
    ),
    RefusalReason.KEY_IN_PROGRESS: (
        409,
        "The first request with this idempotency key is in progress",
    ),
    RefusalReason.KEY_UNSETTLED: (
        409,
        "It is unknown whether the first request with this key ran",
    ),
    RefusalReason.ANSWER_NOT_STORED: (
        409,
        "The first request with this key ran; its answer was too large to keep",
    ),
}


class Failure(msgspec.Struct, frozen=True):
    """A problem to tell a caller, and when it may come again.

    Attributes:
      problem: the problem document.
      retry_after_s: when to come again, in seconds; None to say nothing.
    """

    problem: Problem
    retry_after_s: float | None = None


def failure(
    refusal: Refusal,
    outcome: RequestOutcome = RequestOutcome.NOT_RUN,
    detail: str = "",
) -> Failure:
    """Returns the problem document of a refusal.

    Args:
      refusal: why, and when to come again.
      outcome: whether the work ran.
      detail: more for the person at the terminal.
    """
    status, title = _STATUS_AND_TITLE[refusal.reason]
    return Failure(
        Problem(
            title=title,
            status=status,
            outcome=outcome,
            reason=refusal.reason.value,
            detail=detail,
        ),
        refusal.retry_after_s,
    )
