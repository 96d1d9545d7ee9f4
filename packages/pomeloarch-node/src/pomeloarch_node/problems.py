"""RFC 9457 problem documents, extended by the outcome of the request."""

from __future__ import annotations

import enum
import math

import msgspec
from starlette.responses import Response


class RequestOutcome(enum.Enum):
    """Whether the caller's request ran.

    `NOT_RUN` is reported only when it is certain.
    """

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    RAN = "ran"


class Problem(msgspec.Struct, frozen=True):
    """A problem document.

    Attributes:
      title: a summary of the problem, for people.
      status: the HTTP status.
      outcome: whether the request ran.
      reason: a code for the problem, for programs.
      detail: a description of this occurrence, for people; may be empty.
      type: the URI of the problem type.
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
    """Returns the HTTP response that reports a problem.

    Args:
      problem: the problem document.
      retry_after_s: the time after which the caller may retry, in seconds.
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
