"""HTTP routes for operators: publications, history, diffs and audit trail."""

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

# Maximum and default number of entries in an answer.
MAX_LISTED = 1000
_DEFAULT_LISTED = 20
# Limits the memory for bodies and for sets of objects that are being checked.
_MAX_CONCURRENT_PUBLICATIONS = 4
# How long a publication waits for others to end, in seconds.
_SLOT_TIMEOUT_S = 10.0


class OperatorsApi:
    """Answers operators' requests; each node has this API.

    Args:
      platform: client of the platform's tables.
      holder: the configuration in force; it receives new publications.
      metrics: the node's metrics.
      node_id: this node, for the audit trail.
      rng: spreads the retries of concurrent publishers.
      wall_clock: returns the time of the wall clock, in seconds.
      sleep: waits for a number of seconds.
      body_timeout_s: time in which the body of a publication has to arrive, in
        seconds.
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
        """Creates an API that has answered no requests."""
        self._holder = holder
        self._metrics = metrics
        self._wall_clock = wall_clock
        self._body_timeout_s = body_timeout_s
        self._slots = asyncio.Semaphore(_MAX_CONCURRENT_PUBLICATIONS)
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
        """Returns the HTTP routes of the component."""
        return [
            Route("/v1/publications", self._publish, methods=["POST"]),
            Route("/v1/generations", self._history),
            Route("/v1/generations/{number:int}", self._generation),
            Route("/v1/generations/{old:int}/diff/{new:int}", self._diff),
            Route("/v1/audit", self._audit_trail),
        ]

    async def run(self) -> None:
        """Waits until cancelled; all work is done in requests."""
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
            return publishing_busy(_MAX_CONCURRENT_PUBLICATIONS)
        try:
            return await self._publish_in_slot(request)
        finally:
            self._slots.release()

    async def _publish_in_slot(self, request: Request) -> Response:
        read = await read_body(request, self._body_timeout_s)
        if isinstance(read, Err):
            return self._report_failure(read.err_value)
        body = read.ok_value
        to_publish = await self._build_request(
            body, _format_origin(request, body.origin)
        )
        if isinstance(to_publish, Err):
            return self._report_failure(to_publish.err_value)
        outcome = await self._writer.publish(to_publish.ok_value)
        if isinstance(outcome, Err):
            return self._report_failure(outcome.err_value)
        self._holder.offer(outcome.ok_value.snapshot)
        self._metrics.count("publications", outcome="published")
        published = outcome.ok_value.published
        return _json_response(PublishAnswer.from_published(published))

    def _report_failure(self, failure: PublishFailure) -> Response:
        name = type(failure).__name__
        self._metrics.count("publications", outcome=name)
        return failure_response(failure)

    async def _build_request(
        self, body: PublishBody, origin: str
    ) -> Result[PublicationRequest, PublishFailure]:
        if (body.documents is None) == (body.rollback_to is None):
            message = "give either documents or rollback_to"
            return Err(RequestRefused("bad_request", message))
        if body.rollback_to is not None:
            return await self._build_rollback(body, origin, body.rollback_to)
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
                removed=_parse_keys(body.removed),
            )
        )

    async def _build_rollback(
        self, body: PublishBody, origin: str, number: int
    ) -> Result[PublicationRequest, PublishFailure]:
        loaded = await self.store.load_snapshot()
        if isinstance(loaded, Err):
            return loaded
        target = Generation(number)
        if target > loaded.ok_value.generation:
            return Err(_unknown_generation(number, loaded.ok_value))
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
        limit = _int_parameter(request, "limit", _DEFAULT_LISTED, MAX_LISTED)
        head = await self.store.load_head()
        if isinstance(head, Err):
            return platform_unavailable(head.err_value)
        highest = head.ok_value.generation
        last = Generation(_int_parameter(request, "upto", highest, highest))
        records = await self.store.load_records(
            Generation(last - limit + 1), last
        )
        if isinstance(records, Err):
            return platform_unavailable(records.err_value)
        lines = map(GenerationSummary.from_record, reversed(records.ok_value))
        return _json_response(HistoryAnswer(highest, tuple(lines)))

    async def _generation(self, request: Request) -> Response:
        number = Generation(request.path_params["number"])
        held = self._holder.snapshot
        if held is not None and held.generation == number:
            return _json_response(GenerationAnswer(number, held.objects, None))
        found = await self._load_snapshot(number)
        if isinstance(found, Err):
            return failure_response(found.err_value)
        records = await self.store.load_records(number, number)
        if isinstance(records, Err):
            return platform_unavailable(records.err_value)
        lines = [*map(GenerationSummary.from_record, records.ok_value), None]
        return _json_response(
            GenerationAnswer(number, found.ok_value.objects, lines[0])
        )

    async def _diff(self, request: Request) -> Response:
        generations = (
            Generation(request.path_params["old"]),
            Generation(request.path_params["new"]),
        )
        found = []
        for generation in generations:
            answer = await self._load_snapshot(generation)
            if isinstance(answer, Err):
                return failure_response(answer.err_value)
            found.append(answer.ok_value.objects)
        return _json_response(
            DiffAnswer.between(generations, found[0], found[1])
        )

    async def _load_snapshot(
        self, number: Generation
    ) -> Result[Snapshot, PlatformError | RequestRefused]:
        loaded = await self.store.load_snapshot()
        if isinstance(loaded, Err):
            return loaded
        if number > loaded.ok_value.generation:
            return Err(_unknown_generation(number, loaded.ok_value))
        objects = await self.store.load_objects_at(number, loaded.ok_value)
        return objects.map(
            lambda found: Snapshot(number, PublicationId(""), found)
        )

    async def _audit_trail(self, request: Request) -> Response:
        limit = _int_parameter(request, "limit", _DEFAULT_LISTED, MAX_LISTED)
        entries = await self._audit.entries(
            limit, self._wall_clock(), request.query_params.get("subject", "")
        )
        if isinstance(entries, Err):
            return platform_unavailable(entries.err_value)
        return _json_response(AuditAnswer(entries.ok_value))


def _parse_keys(names: tuple[str, ...] | None) -> tuple[ObjectKey, ...] | None:
    return None if names is None else tuple(map(ObjectKey.from_text, names))


def _format_origin(request: Request, claimed: str) -> str:
    address = request.client.host if request.client else "unknown"
    return f"{address} ({claimed})" if claimed else address


def _int_parameter(
    request: Request, name: str, default: int, highest: int
) -> int:
    text = request.query_params.get(name, "")
    if not text.isdecimal() or len(text) > 12:
        return default
    return min(int(text), highest)


def _unknown_generation(number: int, highest: Snapshot) -> RequestRefused:
    message = (
        f"generation {number} does not exist; "
        f"the highest is {highest.generation}"
    )
    return RequestRefused("generation_unknown", message)


def _json_response(answer: msgspec.Struct) -> Response:
    return Response(msgspec.json.encode(answer), media_type="application/json")
