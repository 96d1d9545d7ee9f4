"""The HTTP routes of jobs: submit, look, cancel and explain."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from typing import Any

import msgspec
from result import Err, Ok, Result
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import BaseRoute, Route

from pomeloarch_core.gang.messages import JobRecord
from pomeloarch_core.ids import JobId, ZoneName
from pomeloarch_core.objects.model import Snapshot, Urgency
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.job_admission import SubmissionLimit
from pomeloarch_node.job_cancels import CancelGatherer
from pomeloarch_node.job_checks import check_request, find_class
from pomeloarch_node.job_explain import Explainer, JobExplanations
from pomeloarch_node.job_problems import (
    NO_CONFIGURATION,
    NOT_FOUND,
    TOO_LARGE,
    TOO_MANY,
    cancel_problem,
    findings_problem,
    malformed_problem,
    read_problem,
    submit_problem,
)
from pomeloarch_node.job_records import JobView, new_job_id, zone_of
from pomeloarch_node.job_requests import (
    MAX_BODY_BYTES,
    JobRequest,
    parse_request,
)
from pomeloarch_node.job_store import JobStore, SubmitError, Submitted
from pomeloarch_node.job_zones import choose_zone
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessenger
from pomeloarch_node.platform import PlatformClient
from pomeloarch_node.problems import Problem, make_problem_response
from pomeloarch_node.scheduler_digest import (
    DIGEST_TOPIC,
    JOB_TOPIC,
    decode_digests,
)

MAX_KEY_LENGTH = 255
_RETRY_AFTER_S = 1.0


class JobsApi:
    """Takes jobs from callers and answers for them.

    Args:
      zone: this node's availability zone.
      platform: the platform.
      configuration: the generation in force.
      peers: the plane between nodes.
      explainer: the scheduler of this node's zone.
      metrics: the node's metrics.
      rng: the chance in ids.
      wall_clock: seconds of the wall clock.
    """

    def __init__(
        self,
        zone: ZoneName,
        platform: PlatformClient,
        configuration: ConfigurationHolder,
        peers: PeerMessenger,
        explainer: Explainer,
        metrics: Metrics,
        rng: random.Random,
        wall_clock: Callable[[], float] = time.time,
    ) -> None:
        """Keeps what it works with."""
        self._zone = zone
        self._configuration = configuration
        self._peers = peers
        self._metrics = metrics
        self._rng = rng
        self._wall_clock = wall_clock
        self._store = JobStore(platform)
        self._cancels = CancelGatherer(platform, rng, wall_clock)
        self._explanations = JobExplanations(peers, explainer)
        self._limit: SubmissionLimit | None = None

    def routes(self) -> list[BaseRoute]:
        """Returns the HTTP routes that the part answers."""
        return [
            Route("/v1/jobs", self._submit, methods=["POST"]),
            Route("/v1/jobs/{job_id}", self._show, methods=["GET"]),
            Route("/v1/jobs/{job_id}", self._cancel, methods=["DELETE"]),
            Route("/v1/jobs/{job_id}/explain", self._explain, methods=["GET"]),
        ]

    async def run(self) -> None:
        """Writes cancellations and answers questions until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._cancels.run())
            group.create_task(self._explanations.run())

    async def drain(self) -> None:
        """Has nothing of its own to end: requests end by themselves."""

    def status(self) -> dict[str, Any]:
        """Returns the part's share of `GET /v1/status`."""
        return {}

    async def _submit(self, request: Request) -> Response:
        answer = await self._accept(request)
        if isinstance(answer, Err):
            problem = answer.err_value
            self._metrics.count(
                "jobs_not_accepted",
                outcome=problem.outcome.value,
                reason=problem.reason,
            )
            retry = _RETRY_AFTER_S if problem.status == 503 else None
            return make_problem_response(problem, retry)
        submitted = answer.ok_value
        if submitted.fresh:
            self._metrics.count("jobs_accepted")
            await self._poke(submitted.record.spec.job_id)
        return _view(submitted.record, 202 if submitted.fresh else 200)

    async def _accept(self, request: Request) -> Result[Submitted, Problem]:
        body = await _read_body(request)
        if body is None:
            return Err(TOO_LARGE)
        key = request.headers.get("idempotency-key")
        if key is not None and not 0 < len(key) <= MAX_KEY_LENGTH:
            return Err(malformed_problem("Idempotency-Key: 1 to 255 letters"))
        parsed = parse_request(body, request.headers)
        if isinstance(parsed, Err):
            return Err(findings_problem(parsed.err_value, status=400))
        return await self._keep(parsed.ok_value, key)

    async def _keep(
        self, req: JobRequest, key: str | None
    ) -> Result[Submitted, Problem]:
        fingerprint = req.fingerprint()
        claim_key = None if key is None else f"{req.organisation}/{key}"
        snapshot = self._configuration.snapshot
        if snapshot is None:
            return Err(NO_CONFIGURATION)
        placed = self._place(req, snapshot)
        if isinstance(placed, Err):
            # A job that was accepted under an earlier generation stands.
            return await self._earlier(claim_key, fingerprint, placed.err_value)
        zone, urgency = placed.ok_value
        if not self._admit(req, urgency):
            return await self._earlier(claim_key, fingerprint, TOO_MANY)
        now = self._wall_clock()
        job_id = new_job_id(zone, now, self._rng)
        record = JobRecord(req.to_spec(job_id, now), reason="accepted")
        submitted = await self._store.submit(record, claim_key, fingerprint)
        return submitted.map_err(submit_problem)

    def _admit(self, req: JobRequest, urgency: Urgency) -> bool:
        now = asyncio.get_running_loop().time()
        if self._limit is None:
            self._limit = SubmissionLimit(now)
        caller = f"{req.organisation}/{req.caller}"
        nodes = len(self._peers.live_nodes())
        return self._limit.admit(urgency, caller, nodes, now)

    def _place(
        self, req: JobRequest, snapshot: Snapshot
    ) -> Result[tuple[ZoneName, Urgency], Problem]:
        findings = check_request(req, snapshot.objects)
        job_class = find_class(req, snapshot.objects)
        if findings or job_class is None:
            return Err(findings_problem(findings, status=422))
        digests = decode_digests(self._peers.digests(DIGEST_TOPIC).values())
        loads = {zone: digest.load for zone, (_, digest) in digests.items()}
        zone = choose_zone(req, job_class, snapshot.objects, loads, self._zone)
        if zone is None:
            return Err(findings_problem(findings, status=422))
        return Ok((zone, job_class.urgency))

    async def _earlier(
        self, claim_key: str | None, fingerprint: str, problem: Problem
    ) -> Result[Submitted, Problem]:
        if claim_key is None:
            return Err(problem)
        found = await self._store.find_claim(claim_key)
        if isinstance(found, Err):
            error = SubmitError.from_read(found.err_value)
            return Err(submit_problem(error))
        if found.ok_value is None:
            return Err(problem)
        resumed = await self._store.resume(found.ok_value, fingerprint)
        return resumed.map_err(submit_problem)

    async def _poke(self, job_id: JobId) -> None:
        """Tells the zone's nodes at once; they would find the row anyway."""
        zone = zone_of(job_id)
        for node, node_zone in self._peers.live_nodes().items():
            if node_zone == zone:
                await self._peers.send(node, JOB_TOPIC, job_id.encode())

    async def _show(self, request: Request) -> Response:
        found = await self._store.find(JobId(request.path_params["job_id"]))
        if isinstance(found, Err):
            return make_problem_response(read_problem(found.err_value))
        if found.ok_value is None:
            return make_problem_response(NOT_FOUND)
        return _view(found.ok_value, 200)

    async def _cancel(self, request: Request) -> Response:
        job_id = JobId(request.path_params["job_id"])
        answer = await self._cancels.cancel(job_id)
        if isinstance(answer, Err):
            problem = cancel_problem(answer.err_value)
            return make_problem_response(problem, _RETRY_AFTER_S)
        record = answer.ok_value
        if record is None:
            return make_problem_response(NOT_FOUND)
        return _view(record, 200 if record.state.is_final else 202)

    async def _explain(self, request: Request) -> Response:
        job_id = JobId(request.path_params["job_id"])
        found = await self._store.find(job_id)
        if isinstance(found, Ok) and found.ok_value is None:
            return make_problem_response(NOT_FOUND)
        reasons = await self._explanations.explain(job_id)
        if isinstance(found, Err):
            if reasons is None:
                return make_problem_response(read_problem(found.err_value))
            return _json({"job_id": job_id, "reasons": reasons})
        record = found.ok_value
        assert record is not None
        if not reasons:
            reasons = [record.reason] if record.reason else []
        return _json(
            {
                "job_id": job_id,
                "state": record.state.value,
                "reason": record.reason,
                "reasons": reasons,
            }
        )


async def _read_body(request: Request) -> bytes | None:
    """Returns the body, None as soon as it is larger than is taken."""
    body = bytearray()
    async for chunk in request.stream():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            return None
    return bytes(body)


def _view(record: JobRecord, status: int) -> Response:
    return _json(JobView.from_record(record), status)


def _json(value: object, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(value),
        status_code=status,
        media_type="application/json",
    )
