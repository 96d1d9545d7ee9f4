"""Executes one request: claim of its key, admission and exchange."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from result import Err

from pomeloarch_core.routing import (
    AttemptResult,
    Refusal,
    RefusalReason,
    RunStatus,
    ServiceRouter,
    Ticket,
    TicketState,
    determine_run_status,
    make_refusal,
)
from pomeloarch_core.routing.claims import (
    ClaimState,
    KeyStatus,
    StoredAnswer,
    fingerprint,
    row_key,
)
from pomeloarch_node.problems import RequestOutcome
from pomeloarch_node.request_attempt import ExchangeOutcome, SilenceHandler
from pomeloarch_node.request_claims import ClaimDenied, ClaimStore
from pomeloarch_node.request_exchange import Exchange
from pomeloarch_node.request_problems import Failure, make_failure
from pomeloarch_node.request_reply import returned_headers
from pomeloarch_node.request_resolved import BufferedBody, ResolvedRequest
from pomeloarch_node.request_watch import CallerWatch
from pomeloarch_node.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)

# Retry-After of refusals whose cause may be temporary, in seconds and before
# the jitter.
_SHORT_RETRY_S = 1.0

_KEY_REFUSALS = {
    KeyStatus.IN_PROGRESS: (
        RefusalReason.KEY_IN_PROGRESS,
        RequestOutcome.UNKNOWN,
    ),
    KeyStatus.UNSETTLED: (RefusalReason.KEY_UNSETTLED, RequestOutcome.UNKNOWN),
    KeyStatus.REPEAT: (RefusalReason.ANSWER_NOT_STORED, RequestOutcome.RAN),
    KeyStatus.KEY_REUSED: (RefusalReason.KEY_REUSED, RequestOutcome.NOT_RUN),
}
_CLAIM_STATES = {
    RequestOutcome.NOT_RUN: ClaimState.NOT_RUN,
    RequestOutcome.UNKNOWN: ClaimState.UNKNOWN,
    RequestOutcome.RAN: ClaimState.RAN,
}


class Dispatcher:
    """Executes requests and returns their answers or failures.

    Args:
      client: returns the client that sends requests to executors.
      claims: the store of idempotency key claims.
      clock: returns the present time in seconds.
      rng: the random number generator for the jitter of refusals.
      on_silence: called with attempts that have had no answer for too long.
    """

    def __init__(
        self,
        client: Callable[[], UpstreamClient],
        claims: ClaimStore,
        clock: Callable[[], float],
        rng: random.Random,
        on_silence: SilenceHandler,
    ) -> None:
        """Creates a dispatcher."""
        self._client = client
        self._claims = claims
        self._clock = clock
        self._rng = rng
        self._on_silence = on_silence

    async def serve(
        self, req: ResolvedRequest, body: BufferedBody, watch: CallerWatch
    ) -> UpstreamAnswer | Failure:
        """Returns the complete answer to a request, or its failure.

        Args:
          req: the request.
          body: the complete body of the request.
          watch: the watch over the caller; its `is_cancellable` is updated
            before the request is sent.
        """
        if req.head.idempotency_key is None:
            return await self._serve_admitted(req, body, watch)
        return await self._serve_keyed(
            req, req.head.idempotency_key, body, watch
        )

    def admit_waiting(self, router: ServiceRouter) -> None:
        """Admits waiting requests of a service while it has capacity."""
        while True:
            admitted = router.admission.admit_next(self._clock())
            if admitted is None:
                return
            ticket, refusal = admitted
            waiter = ticket.attachment
            if isinstance(waiter, asyncio.Future) and not waiter.done():
                waiter.set_result(refusal)

    def temporary_refusal(self, reason: RefusalReason) -> Refusal:
        """Returns a refusal that asks the caller to retry soon."""
        return make_refusal(reason, _SHORT_RETRY_S, self._rng)

    async def _serve_keyed(
        self,
        req: ResolvedRequest,
        key: str,
        body: BufferedBody,
        watch: CallerWatch,
    ) -> UpstreamAnswer | Failure:
        """Claims a request's idempotency key, then executes the request."""
        now = self._clock()
        refusal = req.router.admission.preview(req.flow, req.deadline, now)
        if refusal is not None:
            return make_failure(refusal)
        head = req.head
        claimed = await self._claims.claim(
            row_key(head.service, head.organisation, key),
            fingerprint(head.method, head.target, body.content),
            req.deadline - now,
        )
        if isinstance(claimed, Err):
            return self._answer_denied(claimed.err_value)
        result: UpstreamAnswer | Failure | None = None
        try:
            result = await self._serve_admitted(req, body, watch)
            return result
        finally:
            state, stored = _final_claim_state(
                result, sent=not watch.is_cancellable
            )
            self._claims.settle(claimed.ok_value, state, stored)

    def _answer_denied(self, denied: ClaimDenied) -> UpstreamAnswer | Failure:
        if denied.answer is not None:
            headers = dict(denied.answer.headers)
            return UpstreamAnswer(
                AttemptResult.ANSWERED,
                status=denied.answer.status,
                headers={**headers, "Pomelo-Repeated": "1"},
                body=denied.answer.body,
            )
        if denied.key_status is None:
            reason = denied.reason or RefusalReason.CLAIMS_UNAVAILABLE
            return make_failure(self.temporary_refusal(reason))
        reason, outcome = _KEY_REFUSALS[denied.key_status]
        if denied.key_status is KeyStatus.IN_PROGRESS:
            return make_failure(self.temporary_refusal(reason), outcome)
        return make_failure(Refusal(reason), outcome)

    async def _serve_admitted(
        self, req: ResolvedRequest, body: BufferedBody, watch: CallerWatch
    ) -> UpstreamAnswer | Failure:
        admission = req.router.admission
        ticket = Ticket(req.flow, req.deadline)
        refusal = admission.submit(ticket, self._clock())
        if refusal is None and ticket.state is TicketState.QUEUED:
            refusal = await self._wait_for_admission(req, ticket)
        if refusal is not None:
            return make_failure(refusal)
        answered = False
        try:
            outcome = await self._exchange(req, body, watch)
            answered = outcome.results[-1:] == (AttemptResult.ANSWERED,)
        finally:
            admission.release(ticket, self._clock(), answered=answered)
            self.admit_waiting(req.router)
        return outcome.answer or self._make_unanswered_failure(outcome)

    async def _wait_for_admission(
        self, req: ResolvedRequest, ticket: Ticket
    ) -> Refusal | None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Refusal | None] = loop.create_future()
        ticket.attachment = waiter
        try:
            async with asyncio.timeout(req.deadline - self._clock()):
                return await waiter
        except TimeoutError:
            self._withdraw(req.router, ticket)
            return self.temporary_refusal(RefusalReason.DEADLINE_PASSED)
        except asyncio.CancelledError:
            self._withdraw(req.router, ticket)
            raise

    def _withdraw(self, router: ServiceRouter, ticket: Ticket) -> None:
        """Withdraws a ticket, which may have been admitted meanwhile."""
        router.admission.cancel(ticket)
        router.admission.release(ticket, self._clock(), answered=False)
        self.admit_waiting(router)

    async def _exchange(
        self, req: ResolvedRequest, body: BufferedBody, watch: CallerWatch
    ) -> ExchangeOutcome:
        exchange = Exchange(
            router=req.router,
            client=self._client(),
            req=self._make_upstream_request(req, body.content),
            deadline=req.deadline,
            idempotent=req.is_idempotent,
            expected_s=req.router.admission.expected_s(req.job_class),
            clock=self._clock,
            on_silence=self._on_silence,
            reserve=body.reserve,
        )
        watch.is_cancellable = req.is_idempotent
        return await exchange.run()

    def _make_upstream_request(
        self, req: ResolvedRequest, body: bytes
    ) -> UpstreamRequest:
        head = req.head
        remaining_ms = max(0, int((req.deadline - self._clock()) * 1000))
        headers = [
            *head.forwarded,
            ("Pomelo-Request-Id", req.request_id),
            ("Pomelo-Organisation", head.organisation),
            ("Pomelo-Caller", head.caller),
            ("Pomelo-Class", req.job_class),
            ("Pomelo-Deadline-Ms", str(remaining_ms)),
        ]
        if not req.is_idempotent:
            headers.append(("Pomelo-Non-Idempotent", "1"))
        return UpstreamRequest(head.method, head.target, headers, body)

    def _make_unanswered_failure(self, outcome: ExchangeOutcome) -> Failure:
        if not outcome.results:
            refusal = self.temporary_refusal(RefusalReason.NO_EXECUTOR)
            return make_failure(refusal, detail=outcome.detail)
        if determine_run_status(outcome.results) is RunStatus.NOT_RUN:
            refusal = self.temporary_refusal(RefusalReason.EXECUTORS_REFUSED)
            return make_failure(refusal, detail=outcome.detail)
        refusal = Refusal(RefusalReason.EXECUTOR_FAILED)
        return make_failure(refusal, RequestOutcome.UNKNOWN, outcome.detail)


def _final_claim_state(
    result: UpstreamAnswer | Failure | None, *, sent: bool
) -> tuple[ClaimState, StoredAnswer | None]:
    """Returns the final state of a claim and the answer to store with it.

    Args:
      result: the request's answer or failure, None if it was cancelled.
      sent: whether the request may have been sent.
    """
    if result is None:
        return (ClaimState.UNKNOWN if sent else ClaimState.NOT_RUN), None
    if isinstance(result, Failure):
        return _CLAIM_STATES[result.problem.outcome], None
    headers = tuple(returned_headers(result.headers or {}))
    return ClaimState.RAN, StoredAnswer(result.status, headers, result.body)
