"""Answers `/v1/services/{service}/...`: one caller's request at a time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from result import Err

from pomeloarch_core.ids import RequestId
from pomeloarch_core.routing import Refusal, RefusalReason, SharedBudget
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.request_body import BodyReader, CallerLeft, Receive
from pomeloarch_node.request_catalogue import Catalogue
from pomeloarch_node.request_dispatch import Dispatcher
from pomeloarch_node.request_head import (
    HeadError,
    RequestHead,
    Scope,
    read_head,
    route_class,
)
from pomeloarch_node.request_known import HeldBody, KnownRequest
from pomeloarch_node.request_problems import Failure, failure
from pomeloarch_node.request_reply import Send, send_answer, send_failure
from pomeloarch_node.request_watch import CallerWatch, Watchdog

_DEFAULT_DEADLINE_S = 30.0
_LONGEST_BODY_S = 10.0
_LONGEST_SEND_S = 30.0


class RequestHandler:
    """The ASGI application of the request plane.

    Args:
      catalogue: the services in force.
      dispatcher: gets the answers.
      memory: bytes of bodies, shared by the services.
      places: requests held at once, shared by the services.
      watchdog: watches over slow callers and callers that leave.
      metrics: where requests are counted.
      clock: returns the present time in seconds.
      rng: makes the prefix of request ids.

    Attributes:
      in_progress: requests that have no answer yet.
      draining: whether callers' connections are closed after each answer.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        dispatcher: Dispatcher,
        memory: SharedBudget,
        places: SharedBudget,
        watchdog: Watchdog,
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Keeps what it works with."""
        self.in_progress = 0
        self.draining = False
        self._idle: asyncio.Event | None = None
        self._catalogue = catalogue
        self._dispatcher = dispatcher
        self._memory = memory
        self._places = places
        self._watchdog = watchdog
        self._metrics = metrics
        self._clock = clock
        self._prefix = f"{rng.getrandbits(64):016x}"
        self._sequence = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Answers one request."""
        self.in_progress += 1
        try:
            await self._handle(scope, receive, send)
        finally:
            self.in_progress -= 1
            if self._idle is not None and self.in_progress == 0:
                self._idle.set()

    async def drain(self) -> None:
        """Closes connections after answers; waits until none is owed."""
        self.draining = True
        self._idle = asyncio.Event()
        if self.in_progress:
            await self._idle.wait()

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
            refusal = self._dispatcher.soon(RefusalReason.CONNECTIONS)
            await self._fail(send, failure(refusal))
            return
        reader = BodyReader(
            head.service, known.service.max_body_bytes, self._memory
        )
        watch = self._watchdog.open(receive)
        try:
            await self._answer(known, reader, watch, receive, send)
        except asyncio.CancelledError:
            if not (watch.left or watch.expired):
                raise
            self._metrics.count("callers_left", service=head.service)
        finally:
            self._watchdog.close(watch)
            reader.release()
            self._places.give_back(head.service, 1)

    def _look_up(self, head: RequestHead) -> KnownRequest | Refusal:
        catalogue = self._catalogue
        if not catalogue.known:
            return self._dispatcher.soon(RefusalReason.NO_CONFIGURATION)
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
        deadline_s = head.deadline_s
        if deadline_s is None:
            known_class = catalogue.classes.get(job_class)
            deadline_s = (
                known_class.deadline_s if known_class else _DEFAULT_DEADLINE_S
            )
        return KnownRequest(
            head=head,
            service=service,
            router=router,
            job_class=job_class,
            request_id=head.request_id or self._next_id(),
            deadline=self._clock() + deadline_s,
        )

    def _next_id(self) -> RequestId:
        self._sequence += 1
        return RequestId(f"{self._prefix}-{self._sequence}")

    async def _answer(
        self,
        req: KnownRequest,
        reader: BodyReader,
        watch: CallerWatch,
        receive: Receive,
        send: Send,
    ) -> None:
        started = self._clock()
        watch.limit(min(req.deadline, started + _LONGEST_BODY_S))
        try:
            body = await reader.read(receive)
        except asyncio.CancelledError:
            if not watch.expired:
                raise
            watch.take_back()
            body = Err(RefusalReason.BODY_TOO_SLOW)
        if isinstance(body, Err):
            watch.limit(self._clock() + _LONGEST_SEND_S)
            if not isinstance(body.err_value, CallerLeft):
                refusal = self._dispatcher.soon(body.err_value)
                await self._fail(send, failure(refusal))
            return
        watch.listen(started)
        held = HeldBody(body.ok_value, reader.hold)
        ended = await self._dispatcher.serve(req, held, watch)
        watch.stop_listening()
        now = self._clock()
        watch.limit(now + _LONGEST_SEND_S)
        if isinstance(ended, Failure):
            await self._fail(send, ended)
            return
        self._metrics.observe(
            "request_duration",
            now - started,
            service=req.head.service,
            job_class=req.job_class,
            availability_zone=ended.availability_zone,
        )
        await send_answer(send, ended, req.request_id, closing=self.draining)

    async def _fail(self, send: Send, failed: Failure) -> None:
        self._metrics.count(
            "request_failures",
            reason=failed.problem.reason,
            outcome=failed.problem.outcome.value,
        )
        await send_failure(send, failed, closing=self.draining)
