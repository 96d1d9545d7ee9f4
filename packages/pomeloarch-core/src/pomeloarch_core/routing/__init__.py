"""Requests to executors: choice, limits, fair queue, retries, refusals."""

from pomeloarch_core.routing.admission import ServiceAdmission
from pomeloarch_core.routing.choice import ExecutorPool, ExecutorState
from pomeloarch_core.routing.class_weights import class_weights
from pomeloarch_core.routing.fair_queue import FairQueue
from pomeloarch_core.routing.messages import (
    AttemptResult,
    Flow,
    Refusal,
    RefusalReason,
    Ticket,
    TicketState,
    Upstream,
)
from pomeloarch_core.routing.outcomes import (
    RunStatus,
    determine_run_status,
    may_retry,
)
from pomeloarch_core.routing.refusal import make_refusal
from pomeloarch_core.routing.retry_budget import RetryBudget
from pomeloarch_core.routing.service_router import ServiceRouter
from pomeloarch_core.routing.shared_budget import SharedBudget
from pomeloarch_core.routing.zones import ZoneCosts

__all__ = [
    "ExecutorPool",
    "ExecutorState",
    "FairQueue",
    "Flow",
    "Ran",
    "Refusal",
    "RefusalReason",
    "RetryBudget",
    "ServiceAdmission",
    "ServiceRouter",
    "SharedBudget",
    "Ticket",
    "TicketState",
    "TryResult",
    "Upstream",
    "ZoneCosts",
    "class_weights",
    "may_retry",
    "refuse",
    "what_ran",
]
