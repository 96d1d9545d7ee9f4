"""What goes into the request plane's decisions and what comes out."""

from __future__ import annotations

import enum
from typing import NamedTuple

import msgspec

from pomeloarch_core.ids import (
    CallerName,
    ExecutorId,
    JobClassName,
    OrganisationName,
    ZoneName,
)


class Upstream(msgspec.Struct, frozen=True):
    """An executor as the platform's membership list names it.

    Attributes:
      executor_id: its name.
      availability_zone: where it runs.
      address: where it answers, as `ip:port`.
      slots: requests that it runs at once.
      leaving: whether the list says that it is leaving.
    """

    executor_id: ExecutorId
    availability_zone: ZoneName
    address: str
    slots: int = 8
    leaving: bool = False


class Flow(NamedTuple):
    """Whose request it is; requests of one flow are served in order."""

    job_class: JobClassName
    organisation: OrganisationName
    caller: CallerName


class TicketState(enum.Enum):
    """Where a request stands at this node."""

    QUEUED = "queued"
    ADMITTED = "admitted"
    DONE = "done"


class Ticket:
    """One request's place in the queue of a service.

    Attributes:
      flow: whose request it is.
      deadline: when its caller stops waiting, in seconds of the clock.
      cost: slot time that it was charged with, in seconds.
      state: where it stands.
      admitted_at: when it was let through, in seconds of the clock.
    """

    __slots__ = ("admitted_at", "cost", "deadline", "flow", "notify", "state")

    def __init__(
        self,
        flow: Flow,
        deadline: float,
        attachment: object = None,
    ) -> None:
        """Makes the ticket of a request that has just arrived.

        Args:
          flow: whose request it is.
          deadline: when its caller stops waiting, in seconds of the clock.
          notify: what the node attaches to find the request again.
        """
        self.flow = flow
        self.deadline = deadline
        self.attachment = attachment
        self.cost = 0.0
        self.state = TicketState.QUEUED
        self.admitted_at = 0.0


class RefusalReason(enum.Enum):
    """Why a request is not taken; programs compare the value."""

    UNKNOWN_SERVICE = "unknown_service"
    UNKNOWN_ORGANISATION = "unknown_organisation"
    NO_CONFIGURATION = "no_configuration"
    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TOO_SLOW = "body_too_slow"
    DRAINING = "draining"
    OVERLOADED = "overloaded"
    DEADLINE_TOO_NEAR = "deadline_too_near"
    DEADLINE_PASSED = "deadline_passed"
    MEMORY = "memory"
    CONNECTIONS = "connections"
    NO_EXECUTOR = "no_executor"
    EXECUTORS_REFUSED = "executors_refused"
    EXECUTOR_FAILED = "executor_failed"
    INCOMPLETE_ANSWER = "incomplete_answer"
    CLAIMS_UNAVAILABLE = "claims_unavailable"
    CLAIMS_OVER_BUDGET = "claims_over_budget"
    KEY_REUSED = "key_reused"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_UNSETTLED = "key_unsettled"
    ANSWER_NOT_STORED = "answer_not_stored"


class Refusal(msgspec.Struct, frozen=True):
    """A request that is not taken, and when its caller may come again.

    Attributes:
      reason: why.
      retry_after_s: when to come again, in seconds, jitter included.
    """

    reason: RefusalReason
    retry_after_s: float | None = None


class AttemptResult(enum.Enum):
    """How one try at an executor ended.

    Members:
      ANSWERED: a whole answer that isn't a failure.
      FAILED: a whole answer that is a failure (5xx).
      REFUSED: the executor said that it did not run the request.
      NOT_SENT: no byte of the request reached the executor.
      BROKEN: bytes were sent, and no whole answer came back.
      ABANDONED: the node stopped waiting for it.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    ABANDONED = "abandoned"
