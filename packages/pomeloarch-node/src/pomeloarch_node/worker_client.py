"""The workers' API: orders and heartbeats out, reports back."""

from __future__ import annotations

import enum
from typing import Protocol

import aiohttp
import msgspec
from result import Err, Ok, Result

from pomeloarch_core.gang.messages import (
    OrderOutcome,
    TaskReport,
    WorkerOrder,
)
from pomeloarch_core.ids import Epoch, NodeId


class OrdersRequest(msgspec.Struct, frozen=True):
    """The body of a call to a worker; without orders it is a heartbeat.

    Attributes:
      epoch: the epoch of the scheduler; workers refuse a lower one.
      holder: the node that sends it.
      lease_s: for how long the worker's tasks may go on without another
        call, in seconds. 0 renews nothing and only asks for the report.
      orders: what to do, in this order.
    """

    epoch: Epoch
    holder: NodeId
    lease_s: float
    orders: tuple[WorkerOrder, ...] = ()


class OrderResult(msgspec.Struct, frozen=True):
    """How one order ended."""

    outcome: OrderOutcome
    detail: str = ""


class OrdersAnswer(msgspec.Struct, frozen=True):
    """A worker's answer: one result an order, and all tasks that it knows."""

    results: tuple[OrderResult, ...]
    tasks: tuple[TaskReport, ...]
    epoch: Epoch


class WorkerFailure(enum.Enum):
    """Why a worker gave no answer that counts."""

    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class WorkerError(msgspec.Struct, frozen=True):
    """A call that failed.

    Attributes:
      failure: whether the orders may have taken effect.
      message: more for people.
      epoch: the worker's highest epoch where it refused a lower one.
    """

    failure: WorkerFailure
    message: str
    epoch: Epoch = Epoch(0)


class WorkerClient(Protocol):
    """Carries one call to a worker; tests use a fake of it."""

    async def post(
        self, address: str, req: OrdersRequest
    ) -> Result[OrdersAnswer, WorkerError]:
        """Sends orders to the worker at `ip:port/worker-id`."""


class _Refusal(msgspec.Struct):
    epoch: Epoch


class HttpWorkerClient:
    """Workers over HTTP.

    Args:
      session: the HTTP session; the caller closes it.
      timeout_s: time a call may take, in seconds.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timeout_s: float = 2.0
    ) -> None:
        """Keeps the session."""
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def post(
        self, address: str, req: OrdersRequest
    ) -> Result[OrdersAnswer, WorkerError]:
        """Sends orders to the worker at `ip:port/worker-id`."""
        try:
            async with self._session.post(
                f"http://{address}/orders",
                data=msgspec.json.encode(req),
                headers={"Content-Type": "application/json"},
                timeout=self._timeout,
            ) as response:
                return _decode_answer(response.status, await response.read())
        except aiohttp.ClientConnectorError as exc:
            return Err(WorkerError(WorkerFailure.NOT_SENT, str(exc)))
        except (TimeoutError, aiohttp.ClientError) as exc:
            return Err(WorkerError(WorkerFailure.UNKNOWN, repr(exc)))


def _decode_answer(
    status: int, body: bytes
) -> Result[OrdersAnswer, WorkerError]:
    try:
        if status == 200:
            return Ok(msgspec.json.decode(body, type=OrdersAnswer))
        if status == 412:
            epoch = msgspec.json.decode(body, type=_Refusal).epoch
            message = f"the worker has seen epoch {epoch}"
            return Err(WorkerError(WorkerFailure.FENCED, message, epoch))
    except msgspec.DecodeError as exc:
        return Err(WorkerError(WorkerFailure.UNKNOWN, str(exc)))
    message = f"the worker answered {status}"
    return Err(WorkerError(WorkerFailure.UNKNOWN, message))
