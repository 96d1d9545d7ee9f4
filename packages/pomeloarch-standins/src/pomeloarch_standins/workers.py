"""Serves all workers of a small fleet over HTTP from one process.

Usage: `python -m pomeloarch_standins.workers --port 9100 --zones patan,boudha`
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import enum
import sys
import time
from collections.abc import AsyncIterator

import msgspec
import uvicorn
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from pomeloarch_node.platform import Host
from pomeloarch_node.worker_client import OrdersRequest
from pomeloarch_standins.worker_fleet import WorkerFleet, worker_hosts
from pomeloarch_standins.worker_state import SimulatedWorker

# Time between two updates of the workers, in seconds.
_ADVANCE_INTERVAL_S = 0.1
# Time for which a stalled call is left unanswered, in seconds.
_STALL_S = 30.0
# Delay of a call that is carried out late, in seconds.
LATE_S = 3.0


class FaultMode(enum.Enum):
    """The fault that a worker simulates."""

    NONE = "none"
    FAIL = "fail"
    REFUSE = "refuse"
    STALL = "stall"
    DOWN = "down"
    LOSE = "lose"
    LATE = "late"
    REBOOT = "reboot"


class FaultOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The body of `POST /faults`.

    Attributes:
      mode: `fail` lets every task fail, `refuse` refuses every call, `stall`
        leaves a call unanswered without effect, `lose` withholds the answer
        after it did, `late` leaves a call unanswered and carries it out
        seconds later, `down` refuses calls and ends all tasks, `reboot` starts
        the worker anew under its id, without memory, and ends the fault, and
        `none` ends the fault.
      worker: the worker's id, `*` for all workers.
    """

    mode: FaultMode
    worker: str = "*"


class WorkersApp:
    """The HTTP interface of a fleet of simulated workers."""

    def __init__(self, fleet: WorkerFleet) -> None:
        """Creates the interface of workers without faults."""
        self._fleet = fleet
        self._faults: dict[str, FaultMode] = {}

    def app(self) -> Starlette:
        """Returns the ASGI application."""
        return Starlette(
            routes=[
                Route("/{worker}/orders", self._orders, methods=["POST"]),
                Route("/counts", self._counts),
                Route("/faults", self._set_faults, methods=["POST"]),
            ],
            lifespan=self._lifespan,
        )

    @contextlib.asynccontextmanager
    async def _lifespan(self, app: Starlette) -> AsyncIterator[None]:
        ticker = asyncio.create_task(self._advance())
        yield
        ticker.cancel()

    async def _advance(self) -> None:
        while True:
            self._fleet.advance(time.monotonic())
            await asyncio.sleep(_ADVANCE_INTERVAL_S)

    async def _orders(self, request: Request) -> Response:
        worker = self._fleet.workers.get(request.path_params["worker"])
        if worker is None:
            return Response(status_code=404)
        try:
            req = msgspec.json.decode(await request.body(), type=OrdersRequest)
        except msgspec.DecodeError as exc:
            return Response(str(exc), status_code=400)
        mode = self._faults.get(worker.info.worker_id, FaultMode.NONE)
        if mode in (FaultMode.DOWN, FaultMode.REFUSE):
            return Response(status_code=503)
        if mode is FaultMode.STALL:
            await asyncio.sleep(_STALL_S)
            return Response(status_code=503)
        if mode is FaultMode.LATE:
            asyncio.get_running_loop().call_later(LATE_S, _answer, worker, req)
            await asyncio.sleep(_STALL_S)
            return Response(status_code=503)
        response = _answer(worker, req)
        if mode is FaultMode.LOSE:
            await asyncio.sleep(_STALL_S)
        return response

    async def _counts(self, request: Request) -> Response:
        counts = self._fleet.ledger.counts(time.monotonic())
        return _json(counts)

    async def _set_faults(self, request: Request) -> Response:
        try:
            order = msgspec.json.decode(await request.body(), type=FaultOrder)
        except msgspec.DecodeError as exc:
            return Response(str(exc), status_code=400)
        for worker_id, worker in self._fleet.workers.items():
            if order.worker not in ("*", worker_id):
                continue
            self._faults[worker_id] = order.mode
            worker.fails_all = order.mode is FaultMode.FAIL
            if order.mode is FaultMode.DOWN:
                worker.restart(time.monotonic())
            elif order.mode is FaultMode.REBOOT:
                worker.reboot(time.monotonic())
                self._faults[worker_id] = FaultMode.NONE
        return Response(status_code=204)


def _answer(worker: SimulatedWorker, req: OrdersRequest) -> Response:
    answer = worker.handle(req, time.monotonic())
    if answer is None:
        return _json({"epoch": worker.epoch}, status=412)
    return _json(answer)


def _json(value: object, status: int = 200) -> Response:
    return Response(
        msgspec.json.encode(value),
        status_code=status,
        media_type="application/json",
    )


def build_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="workers", description="Serve simulated workers."
    )
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--zones", default="patan,bhaktapur,boudha")
    parser.add_argument("--hosts-per-rack", type=int, default=8)
    parser.add_argument("--accelerators", type=int, default=8)
    parser.add_argument("--memory-gb", type=float, default=512.0)
    parser.add_argument("--run-s", type=float, default=2.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--pool",
        default="{zone}-gpu",
        help="name of each zone's pool, with {zone} as a placeholder",
    )
    return parser


def hosts_from_args(args: argparse.Namespace) -> tuple[Host, ...]:
    """Returns the membership entries that the arguments describe."""
    return worker_hosts(
        f"{args.address}:{args.port}",
        args.zones.split(","),
        hosts_per_rack=args.hosts_per_rack,
        accelerators=args.accelerators,
        memory_gb=args.memory_gb,
        pool=args.pool,
    )


def main(argv: list[str] | None = None) -> int:
    """Serves the workers until the process is terminated."""
    args = build_parser().parse_args(argv)
    fleet = WorkerFleet.from_hosts(
        hosts_from_args(args), run_s=args.run_s, seed=args.seed
    )
    uvicorn.run(
        WorkersApp(fleet).app(),
        host=args.address,
        port=args.port,
        loop="asyncio",
        log_level="warning",
        access_log=False,
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
