"""The HTTP calls of operators: publishing, history, diff and audit trail."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from pomeloarch_core.ids import Generation, NodeId, PublicationId
from pomeloarch_core.objects.findings import ObjectLocations
from pomeloarch_core.objects.keys import ObjectKey
from pomeloarch_core.objects.model import Snapshot
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.operators_audit import AuditTrail
from pomeloarch_node.operators_body import (
    BODY_TIMEOUT_S,
    parse_body,
    read_body,
)
from pomeloarch_node.operators_messages import (
    AuditAnswer,
    DiffAnswer,
    GenerationAnswer,
    GenerationSummary,
    HistoryAnswer,
    PublishAnswer,
    PublishBody,
)
from pomeloarch_node.operators_problems import (
    failure_response,
    platform_unavailable,
    publishing_busy,
)
from pomeloarch_node.platform import PlatformClient, PlatformError
from pomeloarch_node.publication_store import PublicationStore
from pomeloarch_node.publication_writer import PublicationWriter
from pomeloarch_node.publications import (
    ObjectsRefused,
    PublicationRequest,
    PublishFailure,
    RequestRefused,
)

MAX_LISTED = 1000
_DEFAULT_LISTED = 20
# Bounds the memory for bodies and for sets that are being checked.
_PUBLICATIONS_AT_ONCE = 4
_SLOT_TIMEOUT_S = 10.0


class OperatorsApi:
    """Answers operators; every node can.

    Args:
      platform: the platform.
      holder: the configuration in force, to which publications are offered.
      metrics: the node's metrics.
      node_id: the node's name, for the audit trail.
      rng: spreads the retries of racing publishers.
      wall_clock: returns the present time in seconds of the wall clock.
      sleep: waits for a number of seconds.
      body_timeout_s: time that a publication's body may take, in seconds.
    """

    def __init__(
        self,
        platform: PlatformClient,
        holder: ConfigurationHolder,
        metrics: Metrics,
        node_id: NodeId,
        rng: random.Random,
        *,
        wall_clock: Callable[[], float] = time.time,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        body_timeout_s: float = BODY_TIMEOUT_S,
    ) -> None:
        """Keeps what it answers from."""
        self._holder = holder
        self._metrics = metrics
        self._wall_clock = wall_clock
        self._body_timeout_s = body_timeout_s
        self._slots = asyncio.Semaphore(_PUBLICATIONS_AT_ONCE)
        self.store = PublicationStore(platform, lambda: holder.snapshot)
        self._writer = PublicationWriter(
            platform,
            self.store,
            node_id,
            rng,
            wall_clock=wall_clock,
            sleep=sleep,
        )
        self._audit = AuditTrail(platform, self.store)

    def routes(self) -> list[BaseRoute]:
        """Returns the operators' routes."""
        return [
            Route("/v1/publications", self._publish, methods=["POST"]),
            Route("/v1/generations", self._history),
            Route("/v1/generations/{number:int}", self._generation),
            Route("/v1/generations/{old:int}/diff/{new:int}", self._diff),
            Route("/v1/audit", self._audit_trail),
        ]

    async def run(self) -> None:
        """Waits for its end; all the work is done in requests."""
        await asyncio.Event().wait()

    async def drain(self) -> None:
        """Returns at once; requests in progress end by themselves."""

    def status(self) -> dict[str, Any]:
        """Returns the generation in force."""
        return {"generation": self._holder.generation}

    async def _publish(self, request: Request) -> Response:
        try:
            async with asyncio.timeout(_SLOT_TIMEOUT_S):
                await self._slots.acquire()
        except TimeoutError:
            return publishing_busy(_PUBLICATIONS_AT_ONCE)
        try:
            return await self._publish_now(request)
        finally:
            self._slots.release()

    async def _publish_now(self, request: Request) -> Response:
        read = await read_body(request, self._body_timeout_s)
        if isinstance(read, Err):
            return self._failed(read.err_value)
        body = read.ok_value
        asked = await self._request(body, _origin(request, body.origin))
        if isinstance(asked, Err):
            return self._failed(asked.err_value)
        outcome = await self._writer.publish(asked.ok_value)
        if isinstance(outcome, Err):
            return self._failed(outcome.err_value)
        self._holder.offer(outcome.ok_value.snapshot)
        self._metrics.count("publications", outcome="published")
        published = outcome.ok_value.published
        return _json(PublishAnswer.from_published(published))

    def _failed(self, failure: PublishFailure) -> Response:
        name = type(failure).__name__
        self._metrics.count("publications", outcome=name)
        return failure_response(failure)

    async def _request(
        self, body: PublishBody, origin: str
    ) -> Result[PublicationRequest, PublishFailure]:
        if (body.documents is None) == (body.rollback_to is None):
            message = "give either documents or rollback_to"
            return Err(RequestRefused("bad_request", message))
        if body.rollback_to is not None:
            return await self._rollback(body, origin, body.rollback_to)
        parsed = await asyncio.to_thread(parse_body, body)
        if isinstance(parsed, Err):
            return Err(ObjectsRefused(tuple(parsed.err_value)))
        return Ok(
            PublicationRequest(
                publication=PublicationId(body.publication),
                objects=parsed.ok_value.objects,
                locations=parsed.ok_value.locations,
                base=None if body.base is None else Generation(body.base),
                who=body.who,
                why=body.why,
                origin=origin,
                removed=_keys(body.removed),
            )
        )

    async def _rollback(
        self, body: PublishBody, origin: str, number: int
    ) -> Result[PublicationRequest, PublishFailure]:
        loaded = await self.store.load_snapshot()
        if isinstance(loaded, Err):
            return loaded
        target = Generation(number)
        if target > loaded.ok_value.generation:
            return Err(_no_generation(number, loaded.ok_value))
        objects = await self.store.load_objects_at(target, loaded.ok_value)
        if isinstance(objects, Err):
            return objects
        return Ok(
            PublicationRequest(
                publication=PublicationId(body.publication),
                objects=objects.ok_value,
                locations=ObjectLocations(default_path=f"generation {target}"),
                base=None if body.base is None else Generation(body.base),
                who=body.who,
                why=body.why,
                origin=origin,
                rolled_back_to=target,
            )
        )

    async def _history(self, request: Request) -> Response:
        limit = _number(request, "limit", _DEFAULT_LISTED, MAX_LISTED)
        head = await self.store.load_head()
        if isinstance(head, Err):
            return platform_unavailable(head.err_value)
        highest = head.ok_value.generation
        last = Generation(_number(request, "upto", highest, highest))
        records = await self.store.load_records(
            Generation(last - limit + 1), last
        )
        if isinstance(records, Err):
            return platform_unavailable(records.err_value)
        lines = map(GenerationSummary.from_record, reversed(records.ok_value))
        return _json(HistoryAnswer(highest, tuple(lines)))

    async def _generation(self, request: Request) -> Response:
        number = Generation(request.path_params["number"])
        held = self._holder.snapshot
        if held is not None and held.generation == number:
            return _json(GenerationAnswer(number, held.objects, None))
        found = await self._at(number)
        if isinstance(found, Err):
            return failure_response(found.err_value)
        records = await self.store.load_records(number, number)
        if isinstance(records, Err):
            return platform_unavailable(records.err_value)
        lines = [*map(GenerationSummary.from_record, records.ok_value), None]
        return _json(GenerationAnswer(number, found.ok_value.objects, lines[0]))

    async def _diff(self, request: Request) -> Response:
        generations = (
            Generation(request.path_params["old"]),
            Generation(request.path_params["new"]),
        )
        found = []
        for generation in generations:
            answer = await self._at(generation)
            if isinstance(answer, Err):
                return failure_response(answer.err_value)
            found.append(answer.ok_value.objects)
        return _json(DiffAnswer.between(generations, found[0], found[1]))

    async def _at(
        self, number: Generation
    ) -> Result[Snapshot, PlatformError | RequestRefused]:
        loaded = await self.store.load_snapshot()
        if isinstance(loaded, Err):
            return loaded
        if number > loaded.ok_value.generation:
            return Err(_no_generation(number, loaded.ok_value))
        objects = await self.store.load_objects_at(number, loaded.ok_value)
        return objects.map(
            lambda found: Snapshot(number, PublicationId(""), found)
        )

    async def _audit_trail(self, request: Request) -> Response:
        limit = _number(request, "limit", _DEFAULT_LISTED, MAX_LISTED)
        entries = await self._audit.entries(
            limit, self._wall_clock(), request.query_params.get("subject", "")
        )
        if isinstance(entries, Err):
            return platform_unavailable(entries.err_value)
        return _json(AuditAnswer(entries.ok_value))


def _keys(names: tuple[str, ...] | None) -> tuple[ObjectKey, ...] | None:
    return None if names is None else tuple(map(ObjectKey.from_text, names))


def _origin(request: Request, claimed: str) -> str:
    address = request.client.host if request.client else "unknown"
    return f"{address} ({claimed})" if claimed else address


def _number(request: Request, name: str, default: int, highest: int) -> int:
    text = request.query_params.get(name, "")
    if not text.isdecimal() or len(text) > 12:
        return default
    return min(int(text), highest)


def _no_generation(number: int, highest: Snapshot) -> RequestRefused:
    message = (
        f"generation {number} does not exist; "
        f"the highest is {highest.generation}"
    )
    return RequestRefused("generation_unknown", message)


def _json(answer: msgspec.Struct) -> Response:
    return Response(msgspec.json.encode(answer), media_type="application/json")
