"""Problem documents with which the jobs API answers failed requests."""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_node.job_requests import MAX_BODY_BYTES, RequestFinding
from pomeloarch_node.job_store import SubmitError, SubmitFailure
from pomeloarch_node.platform import PlatformError, PlatformFailure
from pomeloarch_node.problems import Problem, RequestOutcome

TOO_LARGE = Problem(
    title="the job's description is too large",
    status=413,
    outcome=RequestOutcome.NOT_RUN,
    reason="too_large",
    detail=f"at most {MAX_BODY_BYTES} bytes are taken",
)
NO_CONFIGURATION = Problem(
    title="this node knows no configuration yet",
    status=503,
    outcome=RequestOutcome.NOT_RUN,
    reason="no_configuration",
)
TOO_MANY = Problem(
    title="the job was not accepted: too many are being submitted",
    status=503,
    outcome=RequestOutcome.NOT_RUN,
    reason="too_many_submissions",
)
NOT_FOUND = Problem(
    title="there is no such job",
    status=404,
    outcome=RequestOutcome.NOT_RUN,
    reason="job_not_found",
)

_SUBMIT_PROBLEMS = {
    SubmitFailure.NOT_WRITTEN: Problem(
        title="the job was not accepted: the platform can't keep it now",
        status=503,
        outcome=RequestOutcome.NOT_RUN,
        reason="platform_unavailable",
    ),
    SubmitFailure.UNKNOWN: Problem(
        title="the job may have been accepted: the platform's answer is "
        "missing; send it again with the same Idempotency-Key",
        status=503,
        outcome=RequestOutcome.UNKNOWN,
        reason="platform_answer_lost",
    ),
    SubmitFailure.KEY_REUSED: Problem(
        title="the Idempotency-Key belongs to another request",
        status=422,
        outcome=RequestOutcome.NOT_RUN,
        reason="idempotency_key_reused",
    ),
}


def findings_problem(
    findings: Iterable[RequestFinding], status: int
) -> Problem:
    """Returns the answer to a request with findings, all of them listed."""
    reason = "malformed" if status == 400 else "can_never_run"
    return Problem(
        title="the job is refused",
        status=status,
        outcome=RequestOutcome.NOT_RUN,
        reason=reason,
        detail="; ".join(str(finding) for finding in findings),
    )


def malformed_problem(detail: str) -> Problem:
    """Returns the answer to a request that can't be parsed."""
    return Problem(
        title="the job is refused",
        status=400,
        outcome=RequestOutcome.NOT_RUN,
        reason="malformed",
        detail=detail,
    )


def submit_problem(error: SubmitError) -> Problem:
    """Returns the answer to a submission that failed."""
    base = _SUBMIT_PROBLEMS[error.failure]
    return Problem(
        title=base.title,
        status=base.status,
        outcome=base.outcome,
        reason=base.reason,
        detail=error.message,
    )


def read_problem(error: PlatformError) -> Problem:
    """Returns the answer to a request whose job could not be read."""
    return Problem(
        title="the job can't be read: the platform does not answer",
        status=503,
        outcome=RequestOutcome.UNKNOWN,
        reason="platform_unavailable",
        detail=error.message,
    )


def cancel_problem(error: PlatformError) -> Problem:
    """Returns the answer to a cancellation that could not be written."""
    not_done = error.failure is PlatformFailure.NOT_DONE
    return Problem(
        title="the cancellation could not be kept; ask again",
        status=503,
        outcome=RequestOutcome.NOT_RUN if not_done else RequestOutcome.UNKNOWN,
        reason="platform_unavailable",
        detail=error.message,
    )
