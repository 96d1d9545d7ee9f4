"""Submits jobs as a caller would, and waits for what becomes of them."""

from __future__ import annotations

import asyncio
import time
import uuid
from typing import Any

import aiohttp
import msgspec

from pomeloarch_standins.demo_client import Balancer

_POLL_S = 0.1
_TRIES = 20
_RETRY_S = 0.3
_TIMEOUT = aiohttp.ClientTimeout(total=3.0)


class JobAsk(msgspec.Struct, frozen=True):
    """A job that a caller wants run."""

    organisation: str
    job_class: str
    members: int
    accelerators: int
    run_s: float
    availability_zone: str
    idempotent: bool = True


class JobCallers:
    """Sends job requests; a try that failed is repeated with its key.

    Args:
      balancer: chooses the node.
      session: the HTTP session.
    """

    def __init__(
        self, balancer: Balancer, session: aiohttp.ClientSession
    ) -> None:
        """Keeps where to send."""
        self._balancer = balancer
        self._session = session

    async def submit(self, ask: JobAsk) -> str:
        """Submits a job and returns its id once it is accepted."""
        headers = {
            "Pomelo-Organisation": ask.organisation,
            "Pomelo-Caller": "desk",
            "Idempotency-Key": uuid.uuid4().hex,
        }
        body = {
            "job_class": ask.job_class,
            "members": ask.members,
            "accelerators": ask.accelerators,
            "memory_gb": 16.0,
            "declared_run_s": ask.run_s,
            "idempotent": ask.idempotent,
            "availability_zone": ask.availability_zone,
            "command": f"run_s={ask.run_s}",
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
        """Waits for one of the states.

        Returns:
          The last state seen and the seconds waited.
        """
        begun = time.monotonic()
        while True:
            state = await self.state(job_id)
            waited = time.monotonic() - begun
            if state in states or waited > timeout_s:
                return state, waited
            await asyncio.sleep(_POLL_S)

    async def _call(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: dict[str, Any] | None,
    ) -> dict[str, Any]:
        fault = ""
        for _ in range(_TRIES):
            url = self._balancer.pick().url + path
            try:
                async with self._session.request(
                    method, url, json=body, headers=headers, timeout=_TIMEOUT
                ) as response:
                    if response.status < 300:
                        return dict(await response.json())
                    fault = f"{response.status} {await response.text()}"
            except (TimeoutError, aiohttp.ClientError) as exc:
                fault = repr(exc)
            await asyncio.sleep(_RETRY_S)
        raise RuntimeError(f"{method} {path}: {fault}")
