"""Failures told to callers: RFC 9457 problem documents with an outcome."""

from __future__ import annotations

import enum
import math

import msgspec
from starlette.responses import Response


class RequestOutcome(enum.Enum):
    """Whether the caller's work ran.

    `NOT_RUN` is said only when it is certain.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Problem(msgspec.Struct, frozen=True):
    """The body of a failure.

    Attributes:
      title: what went wrong, for the person at the terminal.
      status: the HTTP status.
      outcome: whether the work ran.
      reason: a short word that programs can compare.
      detail: more for the person, where there is more.
    """

    title: str
    status: int
    outcome: RequestOutcome
    reason: str
    detail: str = ""
    type: str = "about:blank"


def make_problem_response(
    problem: Problem, retry_after_s: float | None = None
) -> Response:
    """Returns the HTTP answer of a problem.

    Args:
      problem: what to tell.
      retry_after_s: when the caller may try again, in seconds from now.
    """
    headers = {}
    if retry_after_s is not None:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    return Response(
        msgspec.json.encode(problem),
        status_code=problem.status,
        headers=headers,
        media_type="application/problem+json",
    )
