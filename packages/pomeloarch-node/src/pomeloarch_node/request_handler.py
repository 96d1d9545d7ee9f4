"""Answers `/v1/services/{service}/...`: one caller's request at a time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any

import msgspec
from result import Err

from pomeloarch_core.ids import JobClassName, RequestId
from pomeloarch_core.objects.model import Service
from pomeloarch_core.routing import (
    Flow,
    Ran,
    Refusal,
    RefusalReason,
    ServiceRouter,
    SharedBudget,
    Ticket,
    TicketState,
    TryResult,
    refuse,
    what_ran,
)
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.problems import RequestOutcome
from pomeloarch_node.request_body import BodyReader, CallerLeft, Receive
from pomeloarch_node.request_catalogue import Catalogue
from pomeloarch_node.request_exchange import Exchange, ExchangeEnd, Suspect
from pomeloarch_node.request_head import (
    HeadError,
    RequestHead,
    Scope,
    read_head,
    route_class,
)
from pomeloarch_node.request_problems import Failure, failure
from pomeloarch_node.upstream_client import (
    UpstreamAnswer,
    UpstreamClient,
    UpstreamRequest,
)

Send = Callable[[MutableMapping[str, Any]], Awaitable[None]]

_RETRY_SOON_S = 1.0
_WATCH_AFTER_S = 0.05
_LONGEST_SEND_S = 30.0
_DEFAULT_DEADLINE_S = 30.0

# Headers of an answer that hold for one connection alone or that the
# server of this node sets itself.
_NOT_RETURNED = frozenset(
    {
        "connection",
        "content-length",
        "date",
        "keep-alive",
        "pomelo-draining",
        "pomelo-load",
        "proxy-authenticate",
        "server",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)


class Admitted(msgspec.Struct, frozen=True):
    """What a request is known to be once its head was taken."""

    head: RequestHead
    service: Service
    router: ServiceRouter
    job_class: JobClassName
    request_id: RequestId
    deadline: float


class RequestHandler:
    """The ASGI application of the request plane.

    Args:
      catalogue: the services in force.
      client: sends tries to executors.
      memory: bytes of bodies, shared by the services.
      places: requests held at once, shared by the services.
      metrics: where requests are counted.
      clock: returns the present time in seconds.
      rng: the source of chance.
      suspect: told of tries that stay without an answer for too long.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        client: Callable[[], UpstreamClient],
        memory: SharedBudget,
        places: SharedBudget,
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
        suspect: Suspect,
    ) -> None:
        """Keeps what it works with."""
        self._catalogue = catalogue
        self._client = client
        self._memory = memory
        self._places = places
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self._suspect = suspect
        self._prefix = f"{rng.getrandbits(48):012x}"
        self._sequence = 0
        self.in_progress = 0
        self.draining = False
        self.idle = asyncio.Event()
        self.idle.set()

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        self.in_progress += 1
        self.idle.clear()
        try:
            await self._handle(scope, receive, send)
        finally:
            self.in_progress -= 1
            if self.in_progress == 0:
                self.idle.set()

    def pump(self, router: ServiceRouter) -> None:
        """Lets waiting requests of a service through while there is room."""
        while True:
            following = router.admission.admit_next(self._clock())
            if following is None:
                return
            ticket, refusal = following
            waiter = ticket.notify
            if isinstance(waiter, asyncio.Future) and not waiter.done():
                waiter.set_result(refusal)

    async def _handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        head = read_head(scope)
        if isinstance(head, HeadError):
            refusal = Refusal(RefusalReason.BAD_REQUEST)
            await self._fail(send, failure(refusal, detail=head.message))
            return
        known = self._look_up(head)
        if isinstance(known, Refusal):
            await self._fail(send, failure(known))
            return
        if not self._places.try_take(head.service, 1):
            await self._fail(send, failure(self._soon(RefusalReason.MEMORY)))
            return
        reader = BodyReader(
            head.service, known.service.max_body_bytes, self._memory
        )
        try:
            await self._answer(known, reader, receive, send)
        finally:
            reader.release()
            self._places.give_back(head.service, 1)

    def _look_up(self, head: RequestHead) -> Admitted | Refusal:
        catalogue = self._catalogue
        if not catalogue.known:
            return self._soon(RefusalReason.NO_CONFIGURATION)
        if head.organisation not in catalogue.organisations:
            return Refusal(RefusalReason.UNKNOWN_ORGANISATION)
        service = catalogue.services.get(head.service)
        router = catalogue.routers.get(head.service)
        if service is None or router is None:
            return Refusal(RefusalReason.UNKNOWN_SERVICE)
        job_class = route_class(service, head.path)
        if job_class is None:
            return Refusal(RefusalReason.UNKNOWN_SERVICE)
        if (head.content_length or 0) > service.max_body_bytes:
            return Refusal(RefusalReason.BODY_TOO_LARGE)
        known_class = catalogue.classes.get(job_class)
        deadline_s = head.deadline_s
        if deadline_s is None:
            deadline_s = (
                _DEFAULT_DEADLINE_S
                if known_class is None
                else known_class.deadline_s
            )
        self._sequence += 1
        return Admitted(
            head=head,
            service=service,
            router=router,
            job_class=job_class,
            request_id=head.request_id
            or RequestId(f"{self._prefix}-{self._sequence}"),
            deadline=self._clock() + deadline_s,
        )

    async def _answer(
        self, known: Admitted, reader: BodyReader, receive: Receive, send: Send
    ) -> None:
        time_left = known.deadline - self._clock()
        body = await reader.read(receive, time_left)
        if isinstance(body, Err):
            if not isinstance(body.err_value, CallerLeft):
                await self._fail(send, failure(self._soon(body.err_value)))
            return
        started = self._clock()
        ended = await self._serve(known, body.ok_value, receive)
        labels = {"service": known.head.service, "class": known.job_class}
        if isinstance(ended, Failure):
            await self._fail(send, ended)
            return
        self._metrics.observe(
            "request_duration", self._clock() - started, **labels
        )
        await self._pass_on(known, ended, reader, send)

    async def _serve(
        self, known: Admitted, body: bytes, receive: Receive
    ) -> UpstreamAnswer | Failure:
        """Waits for a slot and an answer; ends early if the caller leaves."""
        watch = _CallerWatch(receive)
        try:
            return await self._serve_admitted(known, body, watch)
        finally:
            watch.stop()

    async def _serve_admitted(
        self, known: Admitted, body: bytes, watch: _CallerWatch
    ) -> UpstreamAnswer | Failure:
        admission = known.router.admission
        head = known.head
        flow = Flow(known.job_class, head.organisation, head.caller)
        ticket = Ticket(flow, known.deadline)
        refusal = admission.submit(ticket, self._clock())
        if refusal is None and ticket.state is TicketState.QUEUED:
            refusal = await self._wait(known, ticket)
        if refusal is not None:
            return failure(refusal)
        answered = False
        try:
            ended = await self._exchange(known, body, watch)
            answered = ended.results[-1:] == (TryResult.ANSWERED,)
        finally:
            admission.release(ticket, self._clock(), answered=answered)
            self.pump(known.router)
        if ended.answer is not None:
            return ended.answer
        return self._no_answer(ended)

    async def _wait(self, known: Admitted, ticket: Ticket) -> Refusal | None:
        waiter: asyncio.Future[Refusal | None] = (
            asyncio.get_running_loop().create_future()
        )
        ticket.notify = waiter
        admission = known.router.admission
        try:
            async with asyncio.timeout(known.deadline - self._clock()):
                return await waiter
        except TimeoutError:
            if waiter.done() and not waiter.cancelled():
                return waiter.result()
            return self._soon(RefusalReason.DEADLINE_PASSED)
        finally:
            admission.cancel(ticket)

    async def _exchange(
        self, known: Admitted, body: bytes, watch: _CallerWatch
    ) -> ExchangeEnd:
        head = known.head
        idempotent = not (head.non_idempotent or head.key)
        exchange = Exchange(
            router=known.router,
            client=self._client(),
            req=self._upstream_request(known, body),
            deadline=known.deadline,
            idempotent=idempotent,
            expected_s=known.router.admission.expected_s(known.job_class),
            clock=self._clock,
            suspect=self._suspect,
        )
        watch.safe_to_leave = idempotent
        return await exchange.run()

    def _upstream_request(
        self, known: Admitted, body: bytes
    ) -> UpstreamRequest:
        head = known.head
        left_ms = max(0, int((known.deadline - self._clock()) * 1000))
        headers = [
            *head.forwarded,
            ("Pomelo-Request-Id", known.request_id),
            ("Pomelo-Organisation", head.organisation),
            ("Pomelo-Caller", head.caller),
            ("Pomelo-Class", known.job_class),
            ("Pomelo-Deadline-Ms", str(left_ms)),
        ]
        if head.non_idempotent:
            headers.append(("Pomelo-Non-Idempotent", "1"))
        return UpstreamRequest(head.method, head.target, headers, body)

    def _no_answer(self, ended: ExchangeEnd) -> Failure:
        if not ended.results:
            refusal = self._soon(RefusalReason.NO_EXECUTOR)
            return failure(refusal, detail=ended.detail)
        if what_ran(ended.results) is Ran.NOT_RUN:
            refusal = self._soon(RefusalReason.EXECUTORS_REFUSED)
            return failure(refusal, detail=ended.detail)
        return failure(
            Refusal(RefusalReason.EXECUTOR_FAILED),
            RequestOutcome.UNKNOWN,
            ended.detail,
        )

    def _soon(self, reason: RefusalReason) -> Refusal:
        return refuse(reason, _RETRY_SOON_S, self._rng)

    async def _pass_on(
        self,
        known: Admitted,
        answer: UpstreamAnswer,
        reader: BodyReader,
        send: Send,
    ) -> None:
        body = answer.body
        if len(body) and not reader.hold(len(body)):
            refusal = self._soon(RefusalReason.MEMORY)
            await self._fail(
                send, failure(refusal, RequestOutcome.RAN, "no memory is free")
            )
            return
        headers = [
            (name.lower().encode("latin-1"), value.encode("latin-1"))
            for name, value in (answer.headers or {}).items()
            if name.lower() not in _NOT_RETURNED
        ]
        headers.append((b"pomelo-request-id", known.request_id.encode()))
        await self._send(send, answer.status, headers, body)

    async def _fail(self, send: Send, failed: Failure) -> None:
        problem = failed.problem
        self._metrics.count(
            "request_failures",
            reason=problem.reason,
            outcome=problem.outcome.value,
        )
        headers = [(b"content-type", b"application/problem+json")]
        if failed.retry_after_s is not None:
            seconds = str(max(1, round(failed.retry_after_s)))
            headers.append((b"retry-after", seconds.encode()))
        body = msgspec.json.encode(problem)
        await self._send(send, problem.status, headers, body)

    async def _send(
        self,
        send: Send,
        status: int,
        headers: list[tuple[bytes, bytes]],
        body: bytes,
    ) -> None:
        headers.append((b"content-length", str(len(body)).encode()))
        if self.draining:
            headers.append((b"connection", b"close"))
        await send(
            {
                "type": "http.response.start",
                "status": status,
                "headers": headers,
            }
        )
        async with asyncio.timeout(_LONGEST_SEND_S):
            await send({"type": "http.response.body", "body": body})


class _CallerWatch:
    """Cancels the work of a caller that has left, while that is safe.

    It starts to watch after a moment, since most answers come before.

    Attributes:
      safe_to_leave: whether the work may be cancelled.
    """

    def __init__(self, receive: Receive) -> None:
        self.safe_to_leave = True
        self._receive = receive
        self._worker = asyncio.current_task()
        self._task: asyncio.Task[None] | None = None
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(_WATCH_AFTER_S, self._start)

    def stop(self) -> None:
        """Ends the watch."""
        self._timer.cancel()
        if self._task is not None:
            self._task.cancel()

    def _start(self) -> None:
        self._task = asyncio.create_task(self._watch())

    async def _watch(self) -> None:
        message = await self._receive()
        if message["type"] != "http.disconnect":
            return
        if self.safe_to_leave and self._worker is not None:
            self._worker.cancel()
