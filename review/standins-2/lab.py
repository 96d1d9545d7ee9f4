"""Stand-ins for a small deployment: store, executors, services, platform.

They follow the users' pages SYSTEM, PROTOCOL and DEPLOY and use the standard
library only. All of them run in one process; the nodes of the project run as
processes of their own, started with the command of `deploy/system.toml`. Each
address is on loopback, and each port is a free one.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

ROOT = pathlib.Path(__file__).resolve().parents[2]
if not (ROOT / "deploy" / "system.toml").exists():
    # The built copy is in target/review-2.
    ROOT = pathlib.Path.cwd()
HOST = "127.0.0.1"
HEARTBEAT_S = 1.5
# Heartbeats that are missing before an entry expires.
MISSED_HEARTBEATS = 3
API_KEY = "d4a3hwrr6x73d3zji9n7"
OTHER_KEY = "3hh2b9wu3fexd9dnn2ct"
QUEUE_HOST = "nony24.example"
_CONTRACTS = ["base", "drain", "config", "cost", "recover", "sched", "tenants"]
_CONTRACTS += ["platform", "advice", "upkeep", "sharing"]
_PORTS = (12_000, 32_000)
_SMALL_ROOM = {"cpu": 128_000, "memMb": 262_144, "gpu": 8}

Reply = tuple[int, Any]
Handler = Callable[
    [str, str, dict[str, str], dict[str, str], Any], Awaitable[Reply]
]


def free_port() -> int:
    """Returns a port that nothing listens on.

    It is below the range from which the kernel takes ports of connections.
    """
    while True:
        port = random.randrange(*_PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            return port


class Record:
    """The record of a run: what was sent, answered and run.

    Args:
      path: the file that it is written to.
    """

    def __init__(self, path: pathlib.Path) -> None:
        """Begins an empty record."""
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns the time since the record began, in seconds."""
        return time.monotonic() - self._began

    def write(self, what: str, **fields: Any) -> None:
        """Adds a line."""
        text = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.now():8.3f} {what} {text}\n")
        self._file.flush()


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    return first, headers, await reader.readexactly(length)


class HttpServer:
    """A server of JSON calls over HTTP/1.1 that keeps connections open.

    Args:
      handle: returns the status and the body of an answer.
      port: where it listens; a free port by default.
    """

    def __init__(self, handle: Handler, port: int | None = None) -> None:
        """Creates a server that doesn't listen yet."""
        self._handle = handle
        self.port = port or free_port()
        self.address = f"{HOST}:{self.port}"
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        # Never set: what waits for it is not answered.
        self._cut: asyncio.Event | None = None
        self._silence: list[socket.socket] = []

    async def start(self) -> None:
        """Listens."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=512
        )

    async def stop(self) -> None:
        """Closes the listener and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for each in list(self._writers):
            each.transport.abort()

    def cut(self) -> None:
        """Cuts it off: connections go silent, and none can be opened."""
        assert self._server is not None
        self._server.close()
        self._server = None
        self._cut = asyncio.Event()
        self._silence = _fill_queue(self.port)

    async def heal(self) -> None:
        """Ends a cut. What was sent meanwhile is lost."""
        for each in self._silence:
            each.close()
        for writer in list(self._writers):
            writer.transport.abort()
        self._cut = None
        await self.start()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                first, headers, data = await _read_message(reader)
                method, target, _ = first.split(" ", 2)
                path, _, query = target.partition("?")
                params = dict(urllib.parse.parse_qsl(query))
                body = json.loads(data) if data else None
                if self._cut is not None:
                    await self._cut.wait()
                status, answer = await self._handle(
                    method, path, params, headers, body
                )
                if self._cut is not None:
                    await self._cut.wait()
                content = b"" if answer is None else json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(content)}\r\n\r\n".encode()
                    + content
                )
                await writer.drain()
        except (
            OSError,
            asyncio.IncompleteReadError,
            asyncio.LimitOverrunError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


def _fill_queue(port: int) -> list[socket.socket]:
    """Returns a listener that takes no more connections, and its queue."""
    listener, *others = [socket.socket() for _ in range(4)]
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(0)
    for each in others:
        each.setblocking(False)
        with contextlib.suppress(BlockingIOError):
            each.connect((HOST, port))
    return [listener, *others]


async def call(
    address: str,
    method: str,
    path: str,
    body: Any = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Makes a call on a connection of its own; status 0 means no answer."""
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            content = b"" if body is None else json.dumps(body).encode()
            lines = [f"{method} {path} HTTP/1.1"]
            named = {"Host": address, **(headers or {})}
            lines += [f"{k}: {v}" for k, v in named.items()]
            lines += [
                "Content-Type: application/json",
                f"Content-Length: {len(content)}",
                "Connection: close",
            ]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + content)
            first, _, data = await _read_message(reader)
            text = data.decode()
            return int(first.split(" ")[1]), json.loads(text) if text else None
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


class Store:
    """The platform's store: rows with versions, transactions and a feed."""

    def __init__(self) -> None:
        """Creates an empty store."""
        self.version = 0
        # Values and versions by table, partition and key.
        self.rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._log: list[tuple[int, tuple[str, str, str]]] = []
        self._changed = asyncio.Event()
        self.server = HttpServer(self._handle)

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row as the operator or an executor does; None drops it."""
        self.version += 1
        if value is None:
            self.rows.pop((table, "", key), None)
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self.rows[table, "", key] = (text, self.version)
        self._note((table, "", key))

    def get(self, table: str, key: str) -> Any:
        """Returns the value of a row without a partition, None if absent."""
        found = self.rows.get((table, "", key))
        return None if found is None else json.loads(base64.b64decode(found[0]))

    def _note(self, name: tuple[str, str, str]) -> None:
        self._log.append((self.version, name))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _row(self, name: tuple[str, str, str]) -> dict[str, Any]:
        value, ver = self.rows.get(name, ("", 0))
        table, part, key = name
        row = {"table": table, "part": part, "key": key, "ver": ver}
        return {**row, "value": value} if ver else row

    async def _handle(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        headers: dict[str, str],
        body: Any,
    ) -> Reply:
        if path == "/api/rows-tx":
            await asyncio.sleep(0.005)
            status, answer = self._transact(body)
        elif path == "/api/rows-get":
            await asyncio.sleep(0.002)
            status, answer = 200, self._page(params)
        elif path == "/api/rows-feed":
            status, answer = 200, await self._feed(params)
        elif path == "/api/rows-parts":
            parts = sorted({p for t, p, _ in self.rows if t == params["table"]})
            status, answer = 200, {"parts": parts, "morePages": False}
        else:
            return 404, None
        now_ms = int(time.monotonic() * 1000)
        return status, {"ver": self.version, "nowMs": now_ms, **answer}

    def _transact(self, body: Any) -> tuple[int, dict[str, Any]]:
        def name(row: Any) -> tuple[str, str, str]:
            return row["table"], row.get("part", ""), row["key"]

        checks = body.get("expectedRev", [])
        writes = body.get("setKeys", [])
        drops = body.get("remove", [])
        if any(
            each["table"] in ("op", "servers") for each in [*writes, *drops]
        ):
            return 403, {}
        current = [self._row(name(each)) for each in checks]
        if any(
            a["ver"] != b["ver"] for a, b in zip(checks, current, strict=True)
        ):
            return 412, {"rows": current}
        self.version += 1
        for each in writes:
            self.rows[name(each)] = (each["value"], self.version)
            self._note(name(each))
        for each in drops:
            self.rows.pop(name(each), None)
            self._note(name(each))
        return 200, {}

    def _page(self, params: dict[str, str]) -> dict[str, Any]:
        table, part = params["table"], params.get("part", "")
        first, last = params.get("from", ""), params.get("target")
        limit = min(500, int(params.get("limit", "500")))
        found = sorted(
            key
            for t, p, key in self.rows
            if (t, p) == (table, part)
            and key >= first
            and (last is None or key < last)
        )
        rows = [self._row((table, part, key)) for key in found[:limit]]
        return {"rows": rows, "morePages": len(found) > limit}

    async def _feed(self, params: dict[str, str]) -> dict[str, Any]:
        table, after = params["table"], int(params["after"])
        deadline = time.monotonic() + int(params.get("waitMs", "0")) / 1000
        while True:
            names = dict.fromkeys(
                name
                for ver, name in self._log
                if ver > after and name[0] == table
            )
            left_s = deadline - time.monotonic()
            if names or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
        rows = []
        for name in names:
            row = self._row(name)
            rows.append(row if row["ver"] else {**row, "deleted": True})
        return {"rows": rows}


class Task:
    """What an executor has to know of a work item.

    Attributes:
      work_s: how long it works, in seconds.
      lasting: whether it works until it is stopped.
      need: the resources that it takes.
      advised: whether its start needs a ticket.
    """

    def __init__(
        self, work_s: float, lasting: bool, need: dict[str, int], advised: bool
    ) -> None:
        """Creates a work item."""
        self.work_s = work_s
        self.lasting = lasting
        self.need = need
        self.advised = advised


class Tasks:
    """The work items of all jobs, by name, as the executors' images do."""

    def __init__(self) -> None:
        """Begins without jobs."""
        self._jobs: dict[str, tuple[list[dict[str, Any]], float, bool]] = {}

    def add(
        self, job_id: str, body: dict[str, Any], work_s: float, advised: bool
    ) -> None:
        """Adds a job's work items."""
        self._jobs[job_id] = body["steps"], work_s, advised

    def get(self, name: str) -> Task | None:
        """Returns a work item by `ID.K.STEP.INDEX`, None for an unknown one."""
        job_id, _, step, _ = name.split(".")
        if job_id not in self._jobs:
            return None
        steps, work_s, advised = self._jobs[job_id]
        found = steps[int(step)]
        need = {each: found.get(each, 0) for each in _SMALL_ROOM}
        if found.get("fills"):
            need["cpu"] = 0
        lasting = bool(found.get("longRunning"))
        return Task(work_s, lasting, need, advised)


async def _pass_on(path: str, body: Any) -> None:
    """Lets an order pass."""


class _Run:
    def __init__(self, task: Task, number: int, now: float) -> None:
        self.task = task
        self.number = number
        self.began = now
        self.stopping = False


class Executor:
    """An executor: one life of a machine, in a service.

    Attributes:
      on_change: called with the executor, `start` or how a run ended, the name
        of the work item and the run.

    Args:
      executor_id: its id.
      service: its service.
      zone: its zone.
      rack: its rack.
      store: where it registers.
      tasks: the work items.
      record: the record of the run.
      bounds: the bounds of the deployment.
      room: its capacity.
      tickets: returns whether a ticket is valid for a step on an executor.
    """

    def __init__(
        self,
        executor_id: str,
        service: str,
        zone: str,
        rack: str,
        store: Store,
        tasks: Tasks,
        record: Record,
        bounds: dict[str, Any],
        room: dict[str, int] | None = None,
        tickets: Callable[[str, str, str], bool] | None = None,
    ) -> None:
        """Creates an executor that hasn't started."""
        self.id = executor_id
        self.service = service
        self.zone = zone
        self.rack = rack
        self.room = room or _SMALL_ROOM
        self.state = "ready"
        self.up = False
        self.runs: dict[str, _Run] = {}
        self.on_change: Callable[[Executor, str, str, int], None] = lambda *_: (
            None
        )
        self._store = store
        self._tasks = tasks
        self._record = record
        self._bounds = bounds
        self._tickets = tickets
        # Awaited before each order from the network; it may keep the order.
        self.hold_back: Callable[[str, Any], Awaitable[None]] = _pass_on
        self._fence = 0
        self._deadline_ms = 0
        self._blocked: dict[str, int] = {}
        self._ends: list[list[Any]] = []
        self._last_end = 0
        self._ended = asyncio.Event()
        self._seq = 0
        self._remaining_ms: int | None = None
        self._born = int(time.time() * 1000)
        self._born_at = time.monotonic()
        self._jobs: list[asyncio.Task[None]] = []
        self.server = HttpServer(self._handle)

    def clock_ms(self) -> int:
        """Returns the executor's steady clock."""
        return int((time.monotonic() - self._born_at) * 1000) + 1000

    async def start(self) -> None:
        """Listens and registers."""
        await self.server.start()
        self.up = True
        self._jobs = [
            asyncio.create_task(self._beat()),
            asyncio.create_task(self._work()),
        ]
        self._record.write(
            "executor up", id=self.id, address=self.server.address
        )

    async def crash(self) -> None:
        """Ends at once; its entry expires after three missed heartbeats."""
        await self._end("crashed")
        asyncio.get_running_loop().call_later(
            MISSED_HEARTBEATS * HEARTBEAT_S,
            lambda: self._store.put("servers", self.id, None),
        )

    async def take_down(self) -> None:
        """Ends at once, as the platform does for an upkeep."""
        await self._end("taken down")
        self._store.put("servers", self.id, None)

    async def _end(self, how: str) -> None:
        self.up = False
        for each in self._jobs:
            each.cancel()
        await self.server.stop()
        self._record.write("executor gone", id=self.id, how=how)
        for name in list(self.runs):
            self._finish(name, "killed", listed=False)

    def begin_new_life(self) -> None:
        """Crashes and starts again under the same id, at the same address."""
        for name in list(self.runs):
            self._finish(name, "killed", listed=False)
        self._fence = 0
        self._deadline_ms = 0
        self._blocked.clear()
        self._ends.clear()
        self._last_end = 0
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._born_at = time.monotonic()
        self._record.write("executor begins a new life", id=self.id)

    async def carry_out(self, path: str, body: Any) -> Reply:
        """Carries out an order that has waited on its way."""
        headers = {"x-expected-instance": self.id}
        return await self._handle("POST", path, {}, headers, body)

    async def drain(self, serve_s: float) -> None:
        """Reports `draining`, serves on for a time and leaves."""
        self.state = "draining"
        self._remaining_ms = self._bounds["drainMs"]
        self._write_entry()
        self._record.write("executor drains", id=self.id)
        await asyncio.sleep(serve_s)
        await self.take_down()

    def _write_entry(self) -> None:
        self._seq += 1
        entry = {
            "service": self.service,
            "address": self.server.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "seq": self._seq,
            "capacity": self.room,
            "labels": ["a", self.rack],
            "born": self._born,
            "clockMs": self.clock_ms(),
        }
        if self._remaining_ms is not None:
            entry["remainingMs"] = self._remaining_ms
        self._store.put("servers", self.id, entry)

    async def _beat(self) -> None:
        while True:
            self._write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _work(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if self.runs and self.clock_ms() >= self._deadline_ms:
                for name in list(self.runs):
                    self._finish(name, "lapsed")
            for name, run in list(self.runs.items()):
                done = now - run.began >= run.task.work_s
                if not run.task.lasting and not run.stopping and done:
                    self._finish(name, "done")

    def fail(self, name: str) -> None:
        """Has a run fail through its own fault."""
        if name in self.runs:
            self._finish(name, "failed")

    def _finish(self, name: str, how: str, listed: bool = True) -> None:
        run = self.runs.pop(name)
        self._blocked[name] = max(run.number, self._blocked.get(name, 0))
        if listed:
            self._last_end += 1
            self._ends.append([self._last_end, name, run.number, how, ""])
            ended, self._ended = self._ended, asyncio.Event()
            ended.set()
        self._record.write(
            "run ends", task=name, run=run.number, how=how, on=self.id
        )
        self.on_change(self, how, name, run.number)

    def is_at_work(self, name: str) -> bool:
        """Returns whether a work item runs here and its startup is over."""
        run = self.runs.get(name)
        return (
            run is not None and not run.stopping and self._percent(run) >= 100
        )

    def _percent(self, run: _Run) -> float:
        took_s = time.monotonic() - run.began
        whole_s = 0.5 if run.task.lasting else max(0.001, run.task.work_s)
        return round(min(100.0, 100 * took_s / whole_s), 1)

    def free(self, kind: str) -> int:
        """Returns how much of a resource isn't in use."""
        used = sum(run.task.need[kind] for run in self.runs.values())
        return self.room[kind] - used

    async def _handle(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        headers: dict[str, str],
        body: Any,
    ) -> Reply:
        if headers.get("x-expected-instance", self.id) != self.id:
            return 421, None
        if path == "/health":
            return (503 if self.state == "draining" else 200), None
        calls = {
            "/api/run-start": self._start_run,
            "/api/run-stop": self._stop_run,
            "/api/hold": self._hold,
            "/api/pace": self._pace,
        }
        if path not in calls:
            return 404, None
        await self.hold_back(path, body)
        if body.get("fenceToken", 0) < self._fence:
            status, answer = 409, {"reason": "fence"}
        else:
            self._fence = body.get("fenceToken", 0)
            status, answer = await calls[path](body)
        return status, {
            "clockMs": self.clock_ms(),
            "born": self._born,
            **answer,
        }

    def _extend(self, deadline_ms: int | None) -> None:
        if deadline_ms is not None:
            longest = self.clock_ms() + self._bounds["holdMaxMs"]
            self._deadline_ms = max(
                self._deadline_ms, min(deadline_ms, longest)
            )

    async def _start_run(self, body: Any) -> tuple[int, dict[str, Any]]:
        name, number = body["task"], body["run"]
        running = self.runs.get(name)
        if running is not None and running.number == number:
            self._extend(body["deadlineMs"])
            return 200, {}
        if number <= self._blocked.get(name, 0) or running is not None:
            self._extend(body["deadlineMs"])
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        task = self._tasks.get(name)
        if task is None:
            self._record.write("UNKNOWN WORK", task=name, on=self.id)
            return 400, {}
        step_id = name.rpartition(".")[0]
        if task.advised and not (
            self._tickets
            and self._tickets(step_id, self.id, body.get("ticket", ""))
        ):
            return 409, {"reason": "ticket"}
        self._extend(body["deadlineMs"])
        if any(task.need[kind] > self.free(kind) for kind in self.room):
            return 409, {"reason": "room"}
        self.runs[name] = _Run(task, number, time.monotonic())
        self._record.write("run begins", task=name, run=number, on=self.id)
        self.on_change(self, "start", name, number)
        return 200, {}

    async def _stop_run(self, body: Any) -> tuple[int, dict[str, Any]]:
        name, number = body["task"], body["run"]
        self._blocked[name] = max(number, self._blocked.get(name, 0))
        run = self.runs.get(name)
        if run is not None and run.number <= number and not run.stopping:
            run.stopping = True
            self._record.write(
                "stop ordered", task=name, run=number, on=self.id
            )
            self.on_change(self, "stop", name, number)
            loop = asyncio.get_running_loop()
            loop.call_later(0.05, self._end_stop, name, run)
        return 200, {}

    def _end_stop(self, name: str, run: _Run) -> None:
        if self.up and self.runs.get(name) is run:
            self._finish(name, "stopped")

    async def _pace(self, body: Any) -> tuple[int, dict[str, Any]]:
        return 200, {}

    async def _hold(self, body: Any) -> tuple[int, dict[str, Any]]:
        self._extend(body.get("deadlineMs"))
        acked = body.get("ackedThrough", 0)
        self._ends = [each for each in self._ends if each[0] > acked]
        wait_s = min(2000, body.get("waitMs", 0)) / 1000
        if wait_s and not self._ends:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await self._ended.wait()
        running = [
            [name, run.number, "", self._percent(run), run.task.need["cpu"]]
            for name, run in self.runs.items()
        ]
        return 200, {"running": running, "endedRuns": self._ends[:500]}


class Advice:
    """The service that knows which executors may run a step.

    Args:
      is_good: the policy: returns whether an executor may run a step.
      record: the record of the run.
      valid_ms: how long a ticket is valid, in milliseconds.
    """

    def __init__(
        self,
        is_good: Callable[[str, str], bool],
        record: Record,
        valid_ms: int = 3000,
    ) -> None:
        """Creates the service; it doesn't listen yet."""
        self._is_good = is_good
        self._record = record
        self._valid_ms = valid_ms
        self._tickets: dict[tuple[str, str, str], float] = {}
        self._lock = asyncio.Lock()
        self.server = HttpServer(self._handle)

    def is_valid(self, step: str, executor_id: str, ticket: str) -> bool:
        """Returns whether a ticket is valid now."""
        until = self._tickets.get((step, executor_id, ticket), 0.0)
        return until > time.monotonic()

    async def _handle(
        self,
        method: str,
        path: str,
        params: dict[str, str],
        headers: dict[str, str],
        body: Any,
    ) -> Reply:
        step, workers = body["step"], body["workers"]
        async with self._lock:
            await asyncio.sleep(0.02 + 0.003 * len(workers))
        good = []
        for each in workers:
            if self._is_good(step, each):
                ticket = f"{random.getrandbits(64):016x}"
                until = time.monotonic() + self._valid_ms / 1000
                self._tickets[step, each, ticket] = until
                good.append([each, ticket])
        self._record.write(
            "advice asked",
            step=step,
            workers=",".join(workers),
            good=",".join(each for each, _ in good),
        )
        return 200, {"good": good, "validMs": self._valid_ms}


class Node:
    """A machine of the system, with its process.

    Attributes:
      starts: how many processes were started.
      peak_mb: the largest memory of a process that was seen, in MB.
    """

    def __init__(self, name: str, zone: str) -> None:
        """Creates a machine without a process."""
        self.name = name
        self.zone = zone
        self.front = f"{HOST}:{free_port()}"
        self.ready = f"{HOST}:{free_port()}"
        self.internal = free_port()
        self.process: asyncio.subprocess.Process | None = None
        self.starts = 0
        self.peak_mb = 0.0

    def memory_mb(self) -> float:
        """Returns the memory of the process, in MB."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0.0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE") / 2**20


class Lab:
    """A small deployment.

    Attributes:
      store: the store.
      tasks: the work items of the submitted jobs.
      nodes: the machines of the system.
      bounds: the bounds of the deployment.

    Args:
      folder: the folder of the case, for `record.txt`.
      advice: the policy of the advice service; None for no such service.
      machines: the address of the machine service, empty for none.
      bounds: bounds that differ from the usual ones.
    """

    ZONES = ("amman-a", "amman-b", "amman-c")

    def __init__(
        self,
        folder: pathlib.Path,
        advice: Callable[[str, str], bool] | None = None,
        machines: str = "",
        bounds: dict[str, Any] | None = None,
        node_count: int = 3,
    ) -> None:
        """Creates a deployment of which nothing runs."""
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.tasks = Tasks()
        self.bounds = {**BOUNDS, **(bounds or {})}
        self.advice = None if advice is None else Advice(advice, self.record)
        self.machines = machines
        self.executors: dict[str, Executor] = {}
        self.nodes = [
            Node(f"front-{self.ZONES[i % 3]}-{i // 3 + 1}", self.ZONES[i % 3])
            for i in range(node_count)
        ]
        self._temp = tempfile.TemporaryDirectory()
        self._keepers: list[asyncio.Task[None]] = []
        self._next_node = 0
        self.memory_limit_mb = 300.0

    def new_executor(
        self, executor_id: str, number: int, room: dict[str, int] | None = None
    ) -> Executor:
        """Returns an executor that hasn't started."""
        found = self.executors[executor_id] = Executor(
            executor_id,
            "huvo11a",
            self.ZONES[number % 3],
            f"r{number % 3}-1",
            self.store,
            self.tasks,
            self.record,
            self.bounds,
            room,
            self.advice.is_valid if self.advice else None,
        )
        return found

    def configure(
        self, version: int = 7, priorities: tuple[int, ...] = (0, 1, 2)
    ) -> None:
        """Writes the manifest: one queue a priority, `/q0/` and so on.

        There are two tenants, each with a guarantee of one executor.
        """
        routes = []
        for each in priorities:
            routes.append(
                {
                    "name": f"r-{each}",
                    "host": QUEUE_HOST,
                    "pathPrefix": f"/q{each}/",
                    "type": "unsafe",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 1000,
                    "priority": each,
                    "service": "huvo11a",
                    "maxAttempts": 4,
                    "stretch": 3.0,
                    "public": False,
                }
            )
            if self.advice is not None:
                routes[-1]["advice"] = {
                    "decideMs": 20,
                    "eachMs": 3,
                    "validMs": 3000,
                }
        self.store.put(
            "op",
            "config",
            {
                "version": version,
                "routes": routes,
                "services": [
                    {
                        "name": "huvo11a",
                        "healthPath": "/health",
                        "maxConnections": 64,
                        "protocol": "h1",
                        "tls": False,
                        "admissionCheck": True,
                        "standby": False,
                    }
                ],
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
                "tenants": [
                    {
                        "name": name,
                        "apiKeys": [key],
                        "priority": 1,
                        "guaranteed": {"gpu": 8},
                    }
                    for name, key in (
                        ("kaje80", API_KEY),
                        ("wumo41", OTHER_KEY),
                    )
                ],
            },
        )

    async def start(self, executors: list[Executor]) -> None:
        """Starts everything and waits until a caller can be served."""
        await self.store.server.start()
        if self.advice is not None:
            await self.advice.server.start()
        self.configure()
        for each in executors:
            await each.start()
        for node in self.nodes:
            self._keepers.append(asyncio.create_task(self._keep(node)))
        for node in self.nodes:
            await self.wait_ready(node)
        self.record.write("ready")

    async def wait_ready(self, node: Node, timeout_s: float = 40.0) -> None:
        """Waits until a node reports itself ready."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            status, _ = await call(node.ready, "GET", "/api/readiness")
            if status == 200:
                return
            await asyncio.sleep(0.2)
        raise CannotRunError(f"{node.name} isn't ready")

    def _settings(self, node: Node) -> str:
        cloud = f'address = "{self.machines}"' if self.machines else ""
        advice = (
            f'advice = "{self.advice.server.address}"' if self.advice else ""
        )
        bounds = "\n".join(
            f"{k} = {json.dumps(v)}" for k, v in self.bounds.items()
        )
        return f"""
node = "{node.name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{HOST}"
zone = "{node.zone}"
region = "amman"
internalPorts = [{node.internal},{node.internal}]
seeds = []
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = {json.dumps(_CONTRACTS)}
orders = "invocation"
{advice}
[zones]
amman-a = "amman"
amman-b = "amman"
amman-c = "amman"
[listenAddrs]
front = "{node.front}"
ready = "{node.ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[tolerate]
machines = 2
zones = 1
regions = 0
[bounds]
{bounds}
[platform]
address = "{self.store.server.address}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 5.0
partWritesPerS = 200
rowBytes = 65536
across = false
historyS = 20
[cloud]
{cloud}
ratePerS = 60.0
duties = []
dutyPerS = 60.0
"""

    async def _keep(self, node: Node) -> None:
        """Keeps a machine's process running and its memory limited."""
        settings = pathlib.Path(self._temp.name) / f"{node.name}.toml"
        settings.write_text(self._settings(node), encoding="utf-8")
        deploy = tomllib.loads(
            (ROOT / "deploy" / "system.toml").read_text(encoding="utf-8")
        )
        program, *arguments = deploy["roles"]["entry"]["run"].split()
        if program == "python3":
            program = sys.executable
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", ""),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "POMELOARCH_CONFIG": str(settings),
        }
        log_path = (
            pathlib.Path(os.environ.get("LAB_LOGS", self._temp.name))
            / f"{node.name}.log"
        )
        with log_path.open("ab") as log:
            while True:
                node.starts += 1
                node.process = await asyncio.create_subprocess_exec(
                    program,
                    *arguments,
                    cwd=ROOT,
                    env=environment,
                    stdout=log,
                    stderr=log,
                )
                self.record.write(
                    "process starts", node=node.name, start=node.starts
                )
                await self._watch_memory(node)
                self.record.write(
                    "process ended",
                    node=node.name,
                    status=node.process.returncode,
                )
                await asyncio.sleep(0.5)

    async def _watch_memory(self, node: Node) -> None:
        assert node.process is not None
        waiting = asyncio.create_task(node.process.wait())
        while not waiting.done():
            await asyncio.wait({waiting}, timeout=0.1)
            used_mb = node.memory_mb()
            node.peak_mb = max(node.peak_mb, used_mb)
            if used_mb > self.memory_limit_mb and not waiting.done():
                self.record.write(
                    "over memoryMb, killed", node=node.name, mb=round(used_mb)
                )
                node.process.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Ends all processes."""
        for each in self._keepers:
            each.cancel()
        await asyncio.gather(*self._keepers, return_exceptions=True)
        for node in self.nodes:
            process = node.process
            if process is not None and process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGKILL)
                await process.wait()

    async def request(
        self,
        method: str,
        path: str,
        body: Any = None,
        timeout_s: float = 3.0,
        key: str = API_KEY,
    ) -> tuple[int, Any]:
        """Sends a caller's request to the next machine in turn."""
        self._next_node += 1
        node = self.nodes[self._next_node % len(self.nodes)]
        headers = {
            "Host": QUEUE_HOST,
            "X-Api-Key": key,
            "X-Request-Deadline": str(int(timeout_s * 1000)),
        }
        return await call(node.front, method, path, body, headers, timeout_s)

    async def submit(
        self,
        job_id: str,
        steps: list[dict[str, Any]],
        queue: int = 1,
        work_s: float = 10.0,
        attempts: int = 5,
        key: str = API_KEY,
        **fields: Any,
    ) -> bool:
        """Hands a job in; returns whether it was accepted."""
        body = {"spec": "(text)", "steps": steps, **fields}
        self.tasks.add(job_id, body, work_s, self.advice is not None)
        for _ in range(attempts):
            status, _ = await self.request(
                "POST", f"/q{queue}/{job_id}", body, key=key
            )
            self.record.write("submit", job=job_id, queue=queue, status=status)
            if status // 100 == 2:
                return True
            await asyncio.sleep(0.5)
        return False

    async def state(self, job_id: str, queue: int = 1) -> str:
        """Returns the state of a job as a caller sees it."""
        for _ in range(3):
            status, answer = await self.request("GET", f"/q{queue}/{job_id}")
            if status == 200:
                return str(answer["state"])
            await asyncio.sleep(0.3)
        return f"status {status}"

    def running_on(self, name: str) -> list[Executor]:
        """Returns the executors that run a work item."""
        return [e for e in self.executors.values() if name in e.runs]


class CannotRunError(Exception):
    """The case couldn't run."""


BOUNDS: dict[str, Any] = {
    "seedLagS": 3,
    "reuseAfterS": 2,
    "contactMs": 3000,
    "ackTimeoutMs": 4000,
    "catchUpS": 4,
    "drainMs": 2000,
    "graceS": 6,
    "lossSlackMs": 200,
    "configApplyMs": 2000,
    "rollbackSlackMs": 250,
    "maxStretchMs": 5000,
    "strictRevoke": True,
    "revokeMs": 5000,
    "recoveryS": 12,
    "holdMaxMs": 10000,
    "stopMs": 900,
    "gangTimeoutMs": 3000,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "early_ms": 250,
    "finish_s": 14,
    "status_s": 120,
    "farFactor": 3,
    "checkpointS": 0.5,
    "restoreMs": 250,
    "noticeMs": 4500,
    "moveS": 1.5,
    "maintenanceS": 2,
    "requireFence": False,
    "leaseMs": 3000,
    "thawSlackMs": 300,
    "paceMs": 100,
    "harmMs": 4000,
    "reclaimMs": 3400,
}


def is_trouble() -> bool:
    """Returns whether the disruption is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


def main(case: Callable[[pathlib.Path], Awaitable[bool]]) -> int:
    """Runs a case, given its folder; returns the exit code.

    The case returns whether the rule held.
    """
    folder = pathlib.Path(sys.argv[1]).resolve()

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(115):
                return 0 if await case(folder) else 1
        except (CannotRunError, TimeoutError) as exc:
            print(f"the case couldn't run: {exc!r}")
            return 2

    return asyncio.run(run())
