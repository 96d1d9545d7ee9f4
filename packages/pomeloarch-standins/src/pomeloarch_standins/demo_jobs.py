"""Submits jobs as a caller would and waits for their states."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Any

import aiohttp
import msgspec

from pomeloarch_standins.demo_client import Balancer

_POLL_S = 0.1
_MAX_ATTEMPTS = 20
_RETRY_S = 0.3
_TIMEOUT = aiohttp.ClientTimeout(total=3.0)


class DemoJob(msgspec.Struct, frozen=True):
    """A job of the demo."""

    organisation: str
    job_class: str
    members: int
    accelerators: int
    run_s: float
    availability_zone: str
    idempotent: bool = True


class JobClient:
    """Sends job requests and retries failed ones with the same key.

    Args:
      balancer: selects the node.
      session: the HTTP session.
    """

    def __init__(
        self, balancer: Balancer, session: aiohttp.ClientSession
    ) -> None:
        """Creates a client that has sent nothing."""
        self._balancer = balancer
        self._session = session

    async def submit(self, job: DemoJob) -> str:
        """Submits a job and returns its id once it is accepted."""
        headers = {
            "Pomelo-Organisation": job.organisation,
            "Pomelo-Caller": "desk",
            "Idempotency-Key": uuid.uuid4().hex,
        }
        body = {
            "job_class": job.job_class,
            "members": job.members,
            "accelerators": job.accelerators,
            "memory_gb": 16.0,
            "declared_run_s": job.run_s,
            "idempotent": job.idempotent,
            "availability_zone": job.availability_zone,
            "command": f"run_s={job.run_s}",
        }
        answer = await self._call("POST", "/v1/jobs", headers, body)
        return str(answer["job_id"])

    async def state(self, job_id: str) -> str:
        """Returns the state of a job."""
        answer = await self._call("GET", f"/v1/jobs/{job_id}", {}, None)
        return str(answer["state"])

    async def wait(
        self, job_id: str, states: set[str], timeout_s: float
    ) -> tuple[str, float]:
        """Waits until a job is in one of some states.

        Returns:
          The last state seen and the time waited, in seconds.
        """
        started_at = time.monotonic()
        while True:
            state = await self.state(job_id)
            waited_s = time.monotonic() - started_at
            if state in states or waited_s > timeout_s:
                return state, waited_s
            await asyncio.sleep(_POLL_S)

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any] | None,
    ) -> dict[str, Any]:
        error = ""
        for _ in range(_MAX_ATTEMPTS):
            url = self._balancer.pick().url + path
            try:
                async with self._session.request(
                    method, url, json=body, headers=headers, timeout=_TIMEOUT
                ) as response:
                    if response.status < 300:
                        return dict(await response.json())
                    error = f"{response.status} {await response.text()}"
            except (TimeoutError, aiohttp.ClientError) as exc:
                error = repr(exc)
            await asyncio.sleep(_RETRY_S)
        raise RuntimeError(f"{method} {path}: {error}")
