"""Serves simulated executors from one process, each on a port of its own.

    python -m pomeloarch_standins.executors --base-port 9000 --count 24

The control port, by default the port after the last executor's, serves
`GET /counts` and `POST /faults`.
"""

from __future__ import annotations

import argparse
import asyncio
import signal
import sys

import msgspec
from absl import logging
from aiohttp import web

from pomeloarch_standins.executor_faults import Fault, FaultOrder
from pomeloarch_standins.executor_server import ExecutorServer


class ExecutorFleet:
    """Executors of one service on consecutive ports, with a control port.

    Args:
      address: the IP address to listen on.
      base_port: the first executor's port; 0 for any free ports.
      count: the number of executors.
      service: the name of their service.
      service_s: the time that a request takes, in seconds.
      slots: the number of requests that an executor runs at once.
      control_port: the port of the control endpoint; None for the port after
        the last executor's.
    """

    def __init__(
        self,
        address: str,
        base_port: int,
        count: int,
        service: str,
        service_s: float,
        slots: int = 8,
        control_port: int | None = None,
    ) -> None:
        """Creates executors that do not listen yet."""
        self._address = address
        self._control_port = control_port
        if control_port is None:
            self._control_port = base_port + count if base_port else 0
        self.executors = [
            ExecutorServer(
                executor_id=f"{service}-{index}",
                address=address,
                port=base_port + index if base_port else 0,
                service_s=service_s,
                slots=slots,
            )
            for index in range(count)
        ]
        self._runner: web.AppRunner | None = None

    async def start(self) -> None:
        """Starts listening on all ports."""
        for executor in self.executors:
            await executor.start()
        app = web.Application()
        app.router.add_get("/counts", self._counts)
        app.router.add_post("/faults", self._faults)
        self._runner = web.AppRunner(app, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, self._address, self._control_port)
        await site.start()

    async def stop(self) -> None:
        """Stops listening and drops all connections."""
        if self._runner is not None:
            await self._runner.cleanup()
        await asyncio.gather(*(each.stop() for each in self.executors))

    def runs(self) -> dict[str, int]:
        """Returns how often each request id ran on all executors together."""
        totals: dict[str, int] = {}
        for executor in self.executors:
            for request_id, count in executor.runs.items():
                totals[request_id] = totals.get(request_id, 0) + count
        return totals

    async def apply(self, order: FaultOrder) -> None:
        """Starts or ends a fault on one executor or on all."""
        if isinstance(order.executor, int):
            await self.executors[order.executor].apply(order)
            return
        for executor in self.executors:
            await executor.apply(order)

    async def _counts(self, _request: web.Request) -> web.Response:
        body = {
            "runs": self.runs(),
            "executors": [each.summary() for each in self.executors],
        }
        return web.json_response(body)

    async def _faults(self, request: web.Request) -> web.Response:
        try:
            order = msgspec.json.decode(await request.read(), type=FaultOrder)
        except msgspec.ValidationError as exc:
            return web.Response(status=400, text=str(exc))
        if isinstance(order.executor, int) and order.executor >= len(
            self.executors
        ):
            return web.Response(status=404, text="there is no such executor")
        await self.apply(order)
        return web.Response(status=204)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser(
        prog="executors", description="Serve simulated executors."
    )
    parser.add_argument("--address", default="127.0.0.1")
    parser.add_argument("--base-port", type=int, required=True)
    parser.add_argument("--count", type=int, default=24)
    parser.add_argument("--service", default="appraisal-desk")
    parser.add_argument("--service-s", type=float, default=0.02)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--control-port", type=int, default=None)
    parser.add_argument(
        "--fault",
        type=Fault,
        default=Fault.NONE,
        help="fault of all executors from the start",
    )
    return parser


async def _serve(args: argparse.Namespace) -> None:
    fleet = ExecutorFleet(
        address=args.address,
        base_port=args.base_port,
        count=args.count,
        service=args.service,
        service_s=args.service_s,
        slots=args.slots,
        control_port=args.control_port,
    )
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, stopping.set)
    await fleet.start()
    await fleet.apply(FaultOrder(executor="all", fault=args.fault))
    logging.info("%d executors of %s are listening", args.count, args.service)
    await stopping.wait()
    await fleet.stop()


def main(argv: list[str] | None = None) -> int:
    """Serves executors until SIGTERM or SIGINT."""
    asyncio.run(_serve(_parser().parse_args(argv)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
