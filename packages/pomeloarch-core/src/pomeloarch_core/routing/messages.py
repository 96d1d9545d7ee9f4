"""Inputs and results of the decisions on requests."""

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
    """An executor as the platform lists it.

    Attributes:
      executor_id: its name.
      availability_zone: the zone in which it runs.
      address: the address at which it serves, as `ip:port`.
      slots: how many requests it runs at once.
      leaving: whether the platform's list marks it as leaving.
    """

    executor_id: ExecutorId
    availability_zone: ZoneName
    address: str
    slots: int = 8
    leaving: bool = False


class Flow(NamedTuple):
    """Job class, organisation and caller; a flow's requests stay in order."""

    job_class: JobClassName
    organisation: OrganisationName
    caller: CallerName


class TicketState(enum.Enum):
    """The state of a request at this node."""

    QUEUED = "queued"
    ADMITTED = "admitted"
    DONE = "done"


class Ticket:
    """The place of one request in a service's queue.

    Attributes:
      flow: the flow of the request.
      deadline: when its caller stops waiting, in seconds of the monotonic
        clock.
      cost: slot time charged to its flow, in seconds.
      state: whether it is queued, admitted or done.
      admitted_at: when it was admitted, in seconds of the monotonic clock.
      attachment: an object of the node that leads back to the request.
    """

    __slots__ = (
        "admitted_at",
        "attachment",
        "cost",
        "deadline",
        "flow",
        "state",
    )

    def __init__(
        self,
        flow: Flow,
        deadline: float,
        attachment: object = None,
    ) -> None:
        """Creates the ticket of a request that has just arrived.

        Args:
          flow: the flow of the request.
          deadline: when its caller stops waiting, in seconds of the monotonic
            clock.
          attachment: an object of the node that leads back to the request.
        """
        self.flow = flow
        self.deadline = deadline
        self.attachment = attachment
        self.cost = 0.0
        self.state = TicketState.QUEUED
        self.admitted_at = 0.0


class RefusalReason(enum.Enum):
    """Why a request is refused; clients compare the values."""

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
    """The refusal of a request.

    Attributes:
      reason: why the request is refused.
      retry_after_s: time after which the caller may retry, in seconds with
        jitter; None if no time can be given.
    """

    reason: RefusalReason
    retry_after_s: float | None = None


class AttemptResult(enum.Enum):
    """How one attempt at an executor ended.

    Members:
      ANSWERED: a complete answer that is not a failure.
      FAILED: a complete answer that is a failure (5xx).
      REFUSED: the executor reported that it did not run the request.
      NOT_SENT: no byte of the request reached the executor.
      BROKEN: bytes were sent, but no complete answer came back.
      ABANDONED: the node stopped waiting for the answer.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    NOT_SENT = "not_sent"
    BROKEN = "broken"
    ABANDONED = "abandoned"
