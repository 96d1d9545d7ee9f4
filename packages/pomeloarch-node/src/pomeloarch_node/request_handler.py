"""Handles callers' requests to `/v1/services/{service}/...`."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from result import Err

from pomeloarch_core.ids import RequestId
from pomeloarch_core.routing import Refusal, RefusalReason, SharedBudget
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.request_body import BodyReader, CallerDisconnected, Receive
from pomeloarch_node.request_catalogue import Catalogue
from pomeloarch_node.request_dispatch import Dispatcher
from pomeloarch_node.request_head import (
    HeadError,
    RequestHead,
    Scope,
    match_job_class,
    read_head,
)
from pomeloarch_node.request_problems import Failure, make_failure
from pomeloarch_node.request_reply import Send, send_answer, send_failure
from pomeloarch_node.request_resolved import BufferedBody, ResolvedRequest
from pomeloarch_node.request_watch import CallerWatch, Watchdog

# Deadline of a request that gives none and whose job class is unknown.
_DEFAULT_DEADLINE_S = 30.0
# Time limit for reading a request's body.
_MAX_BODY_READ_S = 10.0
# Time limit for sending an answer to the caller.
_MAX_SEND_S = 30.0


class RequestHandler:
    """The ASGI application of the request plane.

    Args:
      catalogue: the configured services.
      dispatcher: executes requests and returns their answers.
      memory_budget: limits the bytes of buffered bodies; shared by the
        services.
      request_budget: limits the requests in progress; shared by the
        services.
      watchdog: cancels the requests of callers that are too slow or have
        disconnected.
      metrics: the node's metrics, in which requests are counted.
      clock: returns the present time in seconds.
      rng: generates the prefix of request ids.

    Attributes:
      in_progress: the number of requests that are not answered yet.
      draining: whether callers' connections are closed after each answer.
    """

    def __init__(
        self,
        catalogue: Catalogue,
        dispatcher: Dispatcher,
        memory_budget: SharedBudget,
        request_budget: SharedBudget,
        watchdog: Watchdog,
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """Creates a handler without requests in progress."""
        self.in_progress = 0
        self.draining = False
        self._idle: asyncio.Event | None = None
        self._catalogue = catalogue
        self._dispatcher = dispatcher
        self._memory_budget = memory_budget
        self._request_budget = request_budget
        self._watchdog = watchdog
        self._metrics = metrics
        self._clock = clock
        self._id_prefix = f"{rng.getrandbits(64):016x}"
        self._sequence = 0

    async def __call__(
        self, scope: Scope, receive: Receive, send: Send
    ) -> None:
        """Handles one request."""
        self.in_progress += 1
        try:
            await self._handle(scope, receive, send)
        finally:
            self.in_progress -= 1
            if self._idle is not None and self.in_progress == 0:
                self._idle.set()

    async def drain(self) -> None:
        """Closes connections after answers; waits for requests in progress."""
        self.draining = True
        self._idle = asyncio.Event()
        if self.in_progress:
            await self._idle.wait()

    async def _handle(self, scope: Scope, receive: Receive, send: Send) -> None:
        head = read_head(scope)
        if isinstance(head, HeadError):
            refusal = Refusal(RefusalReason.BAD_REQUEST)
            await self._send_failure(
                send, make_failure(refusal, detail=head.message)
            )
            return
        resolved = self._resolve(head)
        if isinstance(resolved, Refusal):
            await self._send_failure(send, make_failure(resolved))
            return
        if not self._request_budget.try_take(head.service, 1):
            refusal = self._dispatcher.temporary_refusal(
                RefusalReason.CONNECTIONS
            )
            await self._send_failure(send, make_failure(refusal))
            return
        reader = BodyReader(
            head.service, resolved.service.max_body_bytes, self._memory_budget
        )
        watch = self._watchdog.open(receive)
        try:
            await self._serve(resolved, reader, watch, receive, send)
        except asyncio.CancelledError:
            if not (watch.has_caller_left or watch.is_timed_out):
                raise
            self._metrics.count("callers_left", service=head.service)
        finally:
            self._watchdog.close(watch)
            reader.release()
            self._request_budget.give_back(head.service, 1)

    def _resolve(self, head: RequestHead) -> ResolvedRequest | Refusal:
        catalogue = self._catalogue
        if not catalogue.is_loaded:
            return self._dispatcher.temporary_refusal(
                RefusalReason.NO_CONFIGURATION
            )
        if head.organisation not in catalogue.organisations:
            return Refusal(RefusalReason.UNKNOWN_ORGANISATION)
        service = catalogue.services.get(head.service)
        router = catalogue.routers.get(head.service)
        if service is None or router is None:
            return Refusal(RefusalReason.UNKNOWN_SERVICE)
        job_class = match_job_class(service, head.path)
        if job_class is None:
            return Refusal(RefusalReason.UNKNOWN_SERVICE)
        if (head.content_length or 0) > service.max_body_bytes:
            return Refusal(RefusalReason.BODY_TOO_LARGE)
        deadline_s = head.deadline_s
        if deadline_s is None:
            configured_class = catalogue.classes.get(job_class)
            deadline_s = (
                configured_class.deadline_s
                if configured_class
                else _DEFAULT_DEADLINE_S
            )
        return ResolvedRequest(
            head=head,
            service=service,
            router=router,
            job_class=job_class,
            request_id=head.request_id or self._next_request_id(),
            deadline=self._clock() + deadline_s,
        )

    def _next_request_id(self) -> RequestId:
        self._sequence += 1
        return RequestId(f"{self._id_prefix}-{self._sequence}")

    async def _serve(
        self,
        req: ResolvedRequest,
        reader: BodyReader,
        watch: CallerWatch,
        receive: Receive,
        send: Send,
    ) -> None:
        started = self._clock()
        watch.set_transfer_deadline(
            min(req.deadline, started + _MAX_BODY_READ_S)
        )
        try:
            body = await reader.read(receive)
        except asyncio.CancelledError:
            if not watch.is_timed_out:
                raise
            watch.undo_cancellation()
            body = Err(RefusalReason.BODY_TOO_SLOW)
        if isinstance(body, Err):
            watch.set_transfer_deadline(self._clock() + _MAX_SEND_S)
            if not isinstance(body.err_value, CallerDisconnected):
                refusal = self._dispatcher.temporary_refusal(body.err_value)
                await self._send_failure(send, make_failure(refusal))
            return
        watch.watch_for_disconnect(started)
        buffered = BufferedBody(body.ok_value, reader.reserve)
        result = await self._dispatcher.serve(req, buffered, watch)
        watch.stop_watching()
        now = self._clock()
        watch.set_transfer_deadline(now + _MAX_SEND_S)
        if isinstance(result, Failure):
            await self._send_failure(send, result)
            return
        self._metrics.observe(
            "request_duration",
            now - started,
            service=req.head.service,
            job_class=req.job_class,
            availability_zone=result.availability_zone,
        )
        await send_answer(send, result, req.request_id, closing=self.draining)

    async def _send_failure(self, send: Send, failed: Failure) -> None:
        self._metrics.count(
            "request_failures",
            reason=failed.problem.reason,
            outcome=failed.problem.outcome.value,
        )
        await send_failure(send, failed, closing=self.draining)
