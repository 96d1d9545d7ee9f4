"""Turns failures of publishing into problem documents."""

from __future__ import annotations

import functools

from starlette.responses import Response

from pomeloarch_node.operators_messages import ConflictProblem, FindingsProblem
from pomeloarch_node.platform import PlatformError, PlatformFailure
from pomeloarch_node.problems import (
    Problem,
    RequestOutcome,
    make_problem_response,
)
from pomeloarch_node.publications import (
    EditsConflict,
    ObjectsRefused,
    RequestRefused,
)

_RETRY_AFTER_S = 2.0
_STATUS_OF_REASON = {
    "body_too_large": 413,
    "body_too_slow": 408,
    "generation_unknown": 404,
    "publication_id_used": 409,
    "too_many_changes": 422,
}


@functools.singledispatch
def failure_response(failure: object) -> Response:
    """Returns the HTTP answer to a failure of publishing or reading."""
    raise TypeError(f"no answer is known for {failure!r}")


@failure_response.register
def _(failure: ObjectsRefused) -> Response:
    problem = FindingsProblem(
        title=f"The objects have {len(failure.findings)} findings.",
        status=422,
        outcome=RequestOutcome.NOT_RUN,
        reason="findings",
        findings=failure.findings,
    )
    return make_problem_response(problem)


@failure_response.register
def _(failure: EditsConflict) -> Response:
    names = ", ".join(sorted({edit.object for edit in failure.edits}))
    problem = ConflictProblem(
        title="Others changed the same objects.",
        status=409,
        outcome=RequestOutcome.NOT_RUN,
        reason="conflict",
        detail=f"Changed by both: {names}.",
        conflicts=failure.edits,
    )
    return make_problem_response(problem)


@failure_response.register
def _(failure: RequestRefused) -> Response:
    status = _STATUS_OF_REASON.get(failure.reason, 400)
    problem = Problem(
        title=failure.message,
        status=status,
        outcome=RequestOutcome.NOT_RUN,
        reason=failure.reason,
    )
    return make_problem_response(problem)


@failure_response.register
def _(failure: PlatformError) -> Response:
    if failure.failure is PlatformFailure.UNKNOWN:
        problem = Problem(
            title="It is not known whether this was published.",
            status=504,
            outcome=RequestOutcome.UNKNOWN,
            reason="platform_answer_lost",
            detail=f"{failure.message}; try again with the same id",
        )
        return make_problem_response(problem, _RETRY_AFTER_S)
    return platform_unavailable(failure)


def platform_unavailable(failure: PlatformError) -> Response:
    """Returns the answer to a call that the platform did not carry out."""
    problem = Problem(
        title="The platform's tables can't be used now.",
        status=503,
        outcome=RequestOutcome.NOT_RUN,
        reason="platform_unavailable",
        detail=failure.message,
    )
    return make_problem_response(problem, _RETRY_AFTER_S)


def publishing_busy(at_once: int) -> Response:
    """Returns the answer when a node has publications enough to do."""
    problem = Problem(
        title=f"This node is busy with {at_once} publications.",
        status=503,
        outcome=RequestOutcome.NOT_RUN,
        reason="publishing_busy",
    )
    return make_problem_response(problem, _RETRY_AFTER_S)
