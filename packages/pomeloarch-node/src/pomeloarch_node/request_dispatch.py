"""Takes one request through admission, claim and its tries."""

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
from pomeloarch_node.request_claims import ClaimKeeper, NotHeld
from pomeloarch_node.request_exchange import Exchange
from pomeloarch_node.request_known import HeldBody, KnownRequest
from pomeloarch_node.request_problems import Failure, failure
from pomeloarch_node.request_reply import returned_headers
from pomeloarch_node.request_try import ExchangeEnd, Suspect
from pomeloarch_node.request_watch import CallerWatch
from pomeloarch_node.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)

_RETRY_SOON_S = 1.0

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
    """Gets the answer of one request after another, or its failure.

    Args:
      client: returns what sends tries to executors.
      claims: claims idempotency keys.
      clock: returns the present time in seconds.
      rng: the source of chance.
      suspect: told of tries that stay without an answer for too long.
    """

    def __init__(
        self,
        client: Callable[[], UpstreamClient],
        claims: ClaimKeeper,
        clock: Callable[[], float],
        rng: random.Random,
        suspect: Suspect,
    ) -> None:
        """Keeps what it works with."""
        self._client = client
        self._claims = claims
        self._clock = clock
        self._rng = rng
        self._suspect = suspect

    async def serve(
        self, req: KnownRequest, body: HeldBody, watch: CallerWatch
    ) -> UpstreamAnswer | Failure:
        """Returns the whole answer of a request, or its failure.

        Args:
          req: the request.
          body: its whole body.
          watch: told from when on the work may not be cancelled.
        """
        if req.head.key is None:
            return await self._serve_admitted(req, body, watch)
        return await self._serve_keyed(req, req.head.key, body, watch)

    def pump(self, router: ServiceRouter) -> None:
        """Lets waiting requests of a service through while there is room."""
        while True:
            following = router.admission.admit_next(self._clock())
            if following is None:
                return
            ticket, refusal = following
            waiter = ticket.attachment
            if isinstance(waiter, asyncio.Future) and not waiter.done():
                waiter.set_result(refusal)

    def soon(self, reason: RefusalReason) -> Refusal:
        """Returns a refusal after which callers may come again soon."""
        return make_refusal(reason, _RETRY_SOON_S, self._rng)

    async def _serve_keyed(
        self, req: KnownRequest, key: str, body: HeldBody, watch: CallerWatch
    ) -> UpstreamAnswer | Failure:
        """Serves a request whose key is claimed before it is sent."""
        now = self._clock()
        refusal = req.router.admission.preview(req.flow, req.deadline, now)
        if refusal is not None:
            return failure(refusal)
        head = req.head
        claimed = await self._claims.claim(
            row_key(head.service, head.organisation, key),
            fingerprint(head.method, head.target, body.content),
            req.deadline - now,
        )
        if isinstance(claimed, Err):
            return self._not_held(claimed.err_value)
        ended: UpstreamAnswer | Failure | None = None
        try:
            ended = await self._serve_admitted(req, body, watch)
            return ended
        finally:
            state, stored = _claim_end(ended, sent=not watch.safe_to_leave)
            self._claims.settle(claimed.ok_value, state, stored)

    def _not_held(self, denied: NotHeld) -> UpstreamAnswer | Failure:
        if denied.answer is not None:
            headers = dict(denied.answer.headers)
            return UpstreamAnswer(
                AttemptResult.ANSWERED,
                status=denied.answer.status,
                headers={**headers, "Pomelo-Repeated": "1"},
                body=denied.answer.body,
            )
        if denied.verdict is None:
            reason = denied.reason or RefusalReason.CLAIMS_UNAVAILABLE
            return failure(self.soon(reason))
        reason, outcome = _KEY_REFUSALS[denied.verdict]
        if denied.verdict is KeyStatus.IN_PROGRESS:
            return failure(self.soon(reason), outcome)
        return failure(Refusal(reason), outcome)

    async def _serve_admitted(
        self, req: KnownRequest, body: HeldBody, watch: CallerWatch
    ) -> UpstreamAnswer | Failure:
        admission = req.router.admission
        ticket = Ticket(req.flow, req.deadline)
        refusal = admission.submit(ticket, self._clock())
        if refusal is None and ticket.state is TicketState.QUEUED:
            refusal = await self._wait(req, ticket)
        if refusal is not None:
            return failure(refusal)
        answered = False
        try:
            ended = await self._exchange(req, body, watch)
            answered = ended.results[-1:] == (AttemptResult.ANSWERED,)
        finally:
            admission.release(ticket, self._clock(), answered=answered)
            self.pump(req.router)
        return ended.answer or self._no_answer(ended)

    async def _wait(self, req: KnownRequest, ticket: Ticket) -> Refusal | None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[Refusal | None] = loop.create_future()
        ticket.attachment = waiter
        try:
            async with asyncio.timeout(req.deadline - self._clock()):
                return await waiter
        except TimeoutError:
            self._give_up(req.router, ticket)
            return self.soon(RefusalReason.DEADLINE_PASSED)
        except asyncio.CancelledError:
            self._give_up(req.router, ticket)
            raise

    def _give_up(self, router: ServiceRouter, ticket: Ticket) -> None:
        """Takes a ticket back that may have been admitted meanwhile."""
        router.admission.cancel(ticket)
        router.admission.release(ticket, self._clock(), answered=False)
        self.pump(router)

    async def _exchange(
        self, req: KnownRequest, body: HeldBody, watch: CallerWatch
    ) -> ExchangeEnd:
        exchange = Exchange(
            router=req.router,
            client=self._client(),
            req=self._upstream_request(req, body.content),
            deadline=req.deadline,
            idempotent=req.idempotent,
            expected_s=req.router.admission.expected_s(req.job_class),
            clock=self._clock,
            suspect=self._suspect,
            hold=body.hold,
        )
        watch.safe_to_leave = req.idempotent
        return await exchange.run()

    def _upstream_request(
        self, req: KnownRequest, body: bytes
    ) -> UpstreamRequest:
        head = req.head
        left_ms = max(0, int((req.deadline - self._clock()) * 1000))
        headers = [
            *head.forwarded,
            ("Pomelo-Request-Id", req.request_id),
            ("Pomelo-Organisation", head.organisation),
            ("Pomelo-Caller", head.caller),
            ("Pomelo-Class", req.job_class),
            ("Pomelo-Deadline-Ms", str(left_ms)),
        ]
        if not req.idempotent:
            headers.append(("Pomelo-Non-Idempotent", "1"))
        return UpstreamRequest(head.method, head.target, headers, body)

    def _no_answer(self, ended: ExchangeEnd) -> Failure:
        if not ended.results:
            refusal = self.soon(RefusalReason.NO_EXECUTOR)
            return failure(refusal, detail=ended.detail)
        if determine_run_status(ended.results) is RunStatus.NOT_RUN:
            refusal = self.soon(RefusalReason.EXECUTORS_REFUSED)
            return failure(refusal, detail=ended.detail)
        refusal = Refusal(RefusalReason.EXECUTOR_FAILED)
        return failure(refusal, RequestOutcome.UNKNOWN, ended.detail)


def _claim_end(
    ended: UpstreamAnswer | Failure | None, *, sent: bool
) -> tuple[ClaimState, StoredAnswer | None]:
    """Returns what a claim's row says in the end.

    Args:
      ended: how the request ended, None if its work was cancelled.
      sent: whether the request may have been sent.
    """
    if ended is None:
        return (ClaimState.UNKNOWN if sent else ClaimState.NOT_RUN), None
    if isinstance(ended, Failure):
        return _CLAIM_STATES[ended.problem.outcome], None
    headers = tuple(returned_headers(ended.headers or {}))
    return ClaimState.RAN, StoredAnswer(ended.status, headers, ended.body)
