"""Client of the workers' API: sends orders and heartbeats, returns reports."""

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
    """Body of a call to a worker; a call without orders is a heartbeat.

    Attributes:
      epoch: the epoch of the scheduler; a worker refuses calls with an epoch
        lower than the highest one that it has seen.
      holder: the node that sends the call.
      lease_s: how long the worker's tasks may go on without another call, in
        seconds. 0 renews no lease and only requests the report.
      orders: the orders, to be carried out in sequence.
    """

    epoch: Epoch
    holder: NodeId
    lease_s: float
    orders: tuple[WorkerOrder, ...] = ()


class OrderResult(msgspec.Struct, frozen=True):
    """Result of one order."""

    outcome: OrderOutcome
    detail: str = ""


class OrdersAnswer(msgspec.Struct, frozen=True):
    """Answer of a worker: one result per order, and all tasks it knows."""

    results: tuple[OrderResult, ...]
    tasks: tuple[TaskReport, ...]
    epoch: Epoch


class WorkerFailure(enum.Enum):
    """Why a call to a worker has no usable answer.

    FENCED means that the worker has seen a higher epoch, NOT_SENT that the call
    never reached it, UNKNOWN that the orders may have taken effect.
    """

    FENCED = "fenced"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


class WorkerError(msgspec.Struct, frozen=True):
    """Failure of a call to a worker.

    Attributes:
      failure: the kind of failure, which tells whether the orders may have
        taken effect.
      message: description for people.
      epoch: the highest epoch that the worker has seen, if it refused a lower
        one; else 0.
    """

    failure: WorkerFailure
    message: str
    epoch: Epoch = Epoch(0)


class WorkerClient(Protocol):
    """Interface of clients that send calls to workers; tests use a fake."""

    async def post(
        self, address: str, req: OrdersRequest
    ) -> Result[OrdersAnswer, WorkerError]:
        """Sends orders to the worker at `ip:port/worker-id`."""


class _Refusal(msgspec.Struct):
    epoch: Epoch


class HttpWorkerClient:
    """Sends calls to workers over HTTP.

    Args:
      session: the HTTP session; the caller closes it.
      timeout_s: timeout of a call, in seconds.
    """

    def __init__(
        self, session: aiohttp.ClientSession, timeout_s: float = 2.0
    ) -> None:
        """Creates a client that uses a session."""
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
