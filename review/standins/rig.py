"""Stand-ins for the review's scripts: the platform's store, executors, clients.

They follow SYSTEM, PROTOCOL and DEPLOY of the users' pages. Only the standard
library is used. The programs under test run as separate processes, with the
command of the deploy file.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import pathlib
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]


def _loopback_address() -> str:
    """Returns a loopback address of this process's own, where there are some."""
    pick = random.SystemRandom().randrange
    host = f"127.{pick(1, 250)}.{pick(250)}.{pick(1, 250)}"
    with socket.socket() as sock:
        try:
            sock.bind((host, 0))
        except OSError:
            return "127.0.0.1"
    return host


HOST = _loopback_address()
TROUBLE = os.environ.get("TROUBLE", "1") != "0"

# Results of a handler besides (status, body).
HANG = object()
RESET = object()

REASONS = {200: "OK", 400: "Bad Request", 409: "Conflict", 410: "Gone"}


_ports: set[int] = set()


def free_port() -> int:
    """Returns a free port below those that the kernel gives to connections."""
    while True:
        port = random.SystemRandom().randrange(15_000, 32_000)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        if port not in _ports:
            _ports.add(port)
            return port


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        return time.monotonic() - self._began

    def __call__(self, text: str) -> None:
        self._file.write(f"{self.now():8.3f} {text}\n")
        self._file.flush()


class HttpServer:
    """A small HTTP/1.1 server; `handle(method, path, query, headers, body)`."""

    def __init__(self, handle, port: int = 0) -> None:
        self._handle = handle
        self.port = port
        self._server = None
        self._writers: set = set()

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Closes the listener and resets all connections, as a crash does."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    if name:
                        headers[name.lower()] = value.strip()
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                path, _, text = target.partition("?")
                query = dict(
                    urllib.parse.parse_qsl(text, keep_blank_values=True)
                )
                answer = await self._handle(method, path, query, headers, body)
                if answer is HANG:
                    await reader.read()
                    return
                if answer is RESET:
                    writer.transport.abort()
                    return
                status, value = answer
                data = b"" if value is None else json.dumps(value).encode()
                reason = REASONS.get(status, "X")
                writer.write(
                    f"HTTP/1.1 {status} {reason}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode() + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Store:
    """The platform's store: rows, transactions, feeds, and its limits."""

    def __init__(self, record: Record) -> None:
        self._record = record
        self._rows: dict[tuple[str, str, str], tuple[str, int]] = {}
        self._last: dict[tuple[str, str, str], int] = {}
        self._changed = asyncio.Event()
        self._parts: dict[str, asyncio.Lock] = {}
        self._waiting: dict[str, int] = {}
        self.ver = 0
        self.row_bytes = 65536
        self.tx_s = 0.005
        self.too_large = 0
        # Set by a case: (method, path, body) -> None, HANG or (status, body).
        self.fault = None
        self.endpoints: list[HttpServer] = []

    async def endpoint(self, name: str) -> HttpServer:
        """Returns an address of the store for one node."""

        async def handle(method, path, query, headers, body):
            return await self._handle(name, method, path, query, body)

        server = HttpServer(handle)
        await server.start()
        self.endpoints.append(server)
        return server

    def put(self, table: str, key: str, value) -> None:
        """Writes as the operator or an executor; None drops the row."""
        self.ver += 1
        if value is None:
            self._rows.pop((table, "", key), None)
        else:
            text = base64.b64encode(json.dumps(value).encode()).decode()
            self._rows[table, "", key] = (text, self.ver)
        self._last[table, "", key] = self.ver
        self._signal()

    def get(self, table: str, key: str):
        """Returns the value of a row, in whatever part it is."""
        for (found, _, name), (text, _) in self._rows.items():
            if found == table and name == key:
                return json.loads(base64.b64decode(text))
        return None

    def _signal(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, node, method, path, query, body):
        await asyncio.sleep(0.001)
        if self.fault is not None:
            found = await self.fault(node, method, path, query, body)
            if found is not None:
                return found
        if path == "/api/rows-tx":
            return await self.transact(json.loads(body))
        if path == "/api/rows-get":
            return self._page(query)
        if path == "/api/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _meta(self, **more):
        return {"ver": self.ver, "nowMs": int(time.monotonic() * 1000), **more}

    def _wire(self, key):
        table, part, name = key
        found = self._rows.get(key)
        if found is None:
            return {
                "table": table, "part": part, "key": name,
                "ver": self._last.get(key, 0), "deleted": True,
            }
        return {
            "table": table, "part": part, "key": name,
            "value": found[0], "ver": found[1],
        }

    async def transact(self, body):
        entries = [
            *body.get("expectedRev", []), *body.get("setKeys", []),
            *body.get("remove", []),
        ]
        parts = {each.get("part", "") for each in entries}
        if len(entries) > 100 or len(parts) > 1:
            return 400, {}
        if len(json.dumps(body)) > 1_000_000:
            return 400, {}
        for each in body.get("setKeys", []):
            if len(base64.b64decode(each["value"])) > self.row_bytes:
                self.too_large += 1
                if self.too_large in (1, 10, 100):
                    size = len(base64.b64decode(each["value"]))
                    self._record(
                        f"store: 400 to a write of {each['table']}/"
                        f"{each['key']}: its value has {size} bytes, "
                        f"rowBytes is {self.row_bytes} "
                        f"(refusal {self.too_large})"
                    )
                return 400, {}
        writes = body.get("setKeys", []) + body.get("remove", [])
        if any(each["table"] in ("op", "servers") for each in writes):
            return 403, {}
        part = next(iter(parts), "")
        lock = self._parts.setdefault(part, asyncio.Lock())
        if self._waiting.get(part, 0) * self.tx_s > 1:
            return 429, {}
        self._waiting[part] = self._waiting.get(part, 0) + 1
        try:
            async with lock:
                await asyncio.sleep(self.tx_s)
                return self.apply(body)
        finally:
            self._waiting[part] -= 1

    def apply(self, body):
        """Carries out a transaction at once."""

        def key(each):
            return each["table"], each.get("part", ""), each["key"]

        checks = body.get("expectedRev", [])
        current = {key(c): self._rows.get(key(c), ("", 0))[1] for c in checks}
        if any(current[key(each)] != each["ver"] for each in checks):
            rows = [
                self._wire(each) for each in current if each in self._rows
            ]
            return 412, self._meta(rows=rows)
        self.ver += 1
        for each in body.get("setKeys", []):
            self._rows[key(each)] = each["value"], self.ver
            self._last[key(each)] = self.ver
        for each in body.get("remove", []):
            if self._rows.pop(key(each), None) is not None:
                self._last[key(each)] = self.ver
        self._signal()
        return 200, self._meta()

    def _page(self, query):
        table, part = query["table"], query.get("part", "")
        first, end = query.get("from", ""), query.get("target")
        names = sorted(
            name for found, p, name in self._rows
            if found == table and p == part and name >= first
            and (end is None or name < end)
        )
        limit = min(500, int(query.get("limit", 500)))
        rows, size = [], 0
        for name in names[:limit]:
            row = self._wire((table, part, name))
            size += len(row["value"])
            if rows and size > 1_000_000:
                break
            rows.append(row)
        return 200, self._meta(rows=rows, morePages=len(rows) < len(names))

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            keys = [
                (ver, key) for key, ver in self._last.items()
                if ver > after and key[0] == table
            ]
            left_s = until - time.monotonic()
            if keys or left_s <= 0:
                rows = [self._wire(key) for _, key in sorted(keys)]
                return 200, self._meta(rows=rows)
            changed = self._changed
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()


class Run:
    """A run on an executor, or one that has ended."""

    def __init__(self, executor, life, task, number, at, late, again) -> None:
        self.executor = executor
        self.life = life
        self.task = task
        self.number = number
        self.began = at
        self.work_s = again
        self.late = late
        self.stops_at = None
        self.ended = None
        self.how = ""
        self.noted = None

    def __str__(self) -> str:
        return f"{self.task} run {self.number} on {self.executor}/{self.life}"


class Jobs:
    """What the clients handed in, and every run of it on any executor."""

    def __init__(self) -> None:
        self.bodies: dict[str, dict] = {}
        self.runs: list[Run] = []
        # Jobs of which every run fails, and after how long.
        self.hopeless: set[str] = set()
        self.fails_after_s = 0.5

    def fails(self, task: str) -> bool:
        return task.split(".")[0] in self.hopeless

    def step(self, task: str) -> dict:
        job, _, step, _ = task.split(".")
        return self.bodies[job]["steps"][int(step)]

    def runs_of(self, task: str) -> list[Run]:
        return [each for each in self.runs if each.task == task]


class Executor:
    """An executor whose orders are invocations; `admissionCheck` is true."""

    def __init__(
        self, name, service, zone, rack, store, jobs, record,
        capacity=(128_000, 262_144, 8), hold_max_s=10.0, stop_s=0.9,
    ) -> None:
        self.name, self.service, self.zone, self.rack = (
            name, service, zone, rack,
        )
        self._store, self._jobs, self._record = store, jobs, record
        self.capacity, self._hold_max_s = capacity, hold_max_s
        self._stop_s = stop_s
        self.life = 0
        self.up = False
        self.cut = False
        self.reaches_store = True
        self._last_beat = 0.0
        # Set by a case: (kind, body) -> None, or seconds of delay. Such a call
        # gets no answer and is carried out later, with 0 never.
        self.late = None
        self._server = None
        self._tasks: set = set()
        self._listed = False
        self._end_event = asyncio.Event()
        self.quiet = False

    async def start(self) -> None:
        self._port = free_port()
        await self.boot()
        self._spawn(self._advance())
        self._spawn(self._beat())

    def _spawn(self, work) -> None:
        task = asyncio.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def boot(self) -> None:
        """Starts a new life under the same id and address."""
        self.life += 1
        self._born = int(time.time() * 1000)
        self._clock0 = time.monotonic()
        self._fence = 0
        self._runs: dict[str, Run] = {}
        self._highest: dict[str, int] = {}
        self._ends: list[tuple[int, Run]] = []
        self._end_count = 0
        self._deadline = 0
        self._seq = 0
        self.up = True
        self._server = HttpServer(self._handle, self._port)
        await self._server.start()
        self._write_entry()

    def crash(self) -> None:
        """Ends the process: what runs on it ends, and all is forgotten."""
        now = self._record.now()
        self.up = False
        for run in self._runs.values():
            run.ended, run.how = now, "crashed"
        self._runs = {}
        self._server.stop()

    def clock(self) -> int:
        return int((time.monotonic() - self._clock0) * 1000)

    def _write_entry(self) -> None:
        if not self.up or not self.reaches_store:
            return
        self._seq += 1
        self._last_beat = time.monotonic()
        self._listed = True
        cpu, mem, gpu = self.capacity
        self._store.put("servers", self.name, {
            "service": self.service, "address": f"{HOST}:{self._port}",
            "zone": self.zone, "version": "v1", "slots": 8, "state": "ready",
            "coldRemainingMs": 0,
            "capacity": {"cpu": cpu, "memMb": mem, "gpu": gpu},
            "labels": ["a", self.rack], "clockMs": self.clock(),
            "seq": self._seq, "born": self._born,
        })

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(1.5)
            self._write_entry()
            if self._listed and time.monotonic() - self._last_beat > 4.6:
                self._listed = False
                self._store.put("servers", self.name, None)

    async def _advance(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            if self.up:
                self.advance()

    def advance(self) -> None:
        now = self._record.now()
        if self._runs and self.clock() > self._deadline:
            for run in list(self._runs.values()):
                self._end(run, "lapsed")
        for run in list(self._runs.values()):
            if run.stops_at is not None:
                if now >= run.stops_at:
                    self._end(run, "stopped")
            elif self._jobs.fails(run.task):
                if now - run.began >= self._jobs.fails_after_s:
                    self._end(run, "failed")
            elif not self._jobs.step(run.task).get("longRunning"):
                if now - run.began >= run.work_s:
                    self._end(run, "done")

    def _end(self, run: Run, how: str) -> None:
        del self._runs[run.task]
        run.ended, run.how = self._record.now(), how
        self._highest[run.task] = max(
            run.number, self._highest.get(run.task, 0)
        )
        self._end_count += 1
        self._ends.append((self._end_count, run))
        self._end_event.set()
        self._end_event = asyncio.Event()
        if not self.quiet:
            self._record(f"executor: {run} ends {how}")

    async def _handle(self, method, path, query, headers, body):
        if self.cut:
            return HANG
        if headers.get("x-expected-instance") != self.name:
            return 421, {"clockMs": self.clock(), "born": self._born}
        kind, order = path.removeprefix("/api/"), json.loads(body)
        delay = self.late(kind, order) if self.late is not None else None
        if delay is not None:
            self._record(
                f"executor: {kind} {_short(order)} to {self.name}/{self.life} "
                "gets no answer"
                + (f"; it is carried out {delay} s later" if delay else "")
            )
            if delay:
                self._spawn(self._later(delay, kind, order))
            return HANG
        life = self.life
        if kind == "hold":
            answer = await self._hold(order)
        else:
            answer = self.carry_out(kind, order, late=False)
        if self.cut or not self.up or self.life != life:
            return HANG
        return answer

    async def _later(self, delay: float, kind: str, order) -> None:
        await asyncio.sleep(delay)
        if self.up:
            status, body = self.carry_out(kind, order, late=True)
            self._record(
                f"executor: {kind} {_short(order)} carried out late by "
                f"{self.name}/{self.life}: {status} {body.get('reason', '')}"
            )

    def carry_out(self, kind: str, order, late: bool):
        """Carries out an order; returns the status and the body."""
        self.advance()
        fence = order.get("fenceToken", 0)
        if fence < self._fence:
            return self._answer(409, reason="fence")
        self._fence = fence
        return getattr(self, "_do_" + kind.replace("-", "_"))(order, late)

    def _answer(self, status: int, **more):
        body = {"clockMs": self.clock(), "born": self._born, **more}
        return status, body

    def _extend(self, deadline) -> None:
        if deadline is not None:
            most = self.clock() + int(self._hold_max_s * 1000)
            self._deadline = max(self._deadline, min(deadline, most))

    def _do_run_start(self, order, late: bool):
        task, number = order["task"], order["run"]
        deadline = order["deadlineMs"]
        present = self._runs.get(task)
        if present is not None and present.number == number:
            self._extend(deadline)
            return self._answer(200)
        if number <= self._highest.get(task, 0) or present is not None:
            self._extend(deadline)
            return self._answer(409, reason="old")
        if deadline <= self.clock():
            return self._answer(409, reason="late")
        job = task.split(".")[0]
        if job not in self._jobs.bodies:
            self._record(f"executor: a start that nobody sent: {task}")
            return self._answer(400)
        step = self._jobs.step(task)
        used = [0, 0, 0]
        for run in self._runs.values():
            other = self._jobs.step(run.task)
            for i, field in enumerate(("cpu", "memMb", "gpu")):
                used[i] += other.get(field, 0)
        need = [step.get(f, 0) for f in ("cpu", "memMb", "gpu")]
        self._extend(deadline)
        if any(
            u + n > c
            for u, n, c in zip(used, need, self.capacity, strict=True)
        ):
            return self._answer(409, reason="room")
        run = Run(
            self.name, self.life, task, number, self._record.now(), late,
            step.get("estimateMs", 1000) / 1000,
        )
        self._runs[task] = run
        self._jobs.runs.append(run)
        if not self.quiet:
            self._record(
                f"executor: {run} starts" + (" (late order)" if late else "")
            )
        return self._answer(200)

    def _do_run_stop(self, order, late: bool):
        task, number = order["task"], order["run"]
        self._highest[task] = max(number, self._highest.get(task, 0))
        run = self._runs.get(task)
        if run is not None and run.number <= number and run.stops_at is None:
            run.stops_at = self._record.now() + self._stop_s
        return self._answer(200)

    def _do_pace(self, order, late: bool):
        return self._answer(200)

    def _do_hold(self, order, late: bool):
        self._extend(order.get("deadlineMs"))
        acked = order.get("ackedThrough", 0)
        for number, run in self._ends:
            if number <= acked:
                run.noted = self._record.now()
        self._ends = [each for each in self._ends if each[0] > acked]
        return self._answer(
            200,
            running=[
                [r.task, r.number, "", self._percent(r)]
                for r in self._runs.values()
            ],
            endedRuns=[
                [n, r.task, r.number, r.how, ""] for n, r in self._ends[:500]
            ],
        )

    def _percent(self, run: Run) -> int:
        if self._jobs.step(run.task).get("longRunning"):
            return 100
        ran_s = self._record.now() - run.began
        return min(99, int(100 * ran_s / max(0.001, run.work_s)))

    async def _hold(self, order):
        answer = self.carry_out("hold", order, late=False)
        wait_s = min(2.0, order.get("waitMs", 0) / 1000)
        if answer[0] != 200 or not wait_s:
            return answer
        event = self._end_event
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s):
                await event.wait()
        if not self.up:
            return HANG
        look = {"fenceToken": order.get("fenceToken", 0)}
        return self.carry_out("hold", look, late=False)

    def close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self._server is not None:
            self._server.stop()


def _short(order) -> str:
    fields = ("task", "run", "ackedThrough", "deadlineMs", "fenceToken")
    return " ".join(f"{k}={order[k]}" for k in fields if k in order)


SETTINGS = """\
node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "r"
internalPorts = [{internal},{internal}]
seeds = []
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
contracts = ["base","drain","config","cost","recover","sched","tenants","platform","advice","upkeep","sharing"]
orders = "invocation"
[zones]
za = "r"
zb = "r"
zc = "r"
[listenAddrs]
front = "{host}:{front}"
ready = "{host}:{ready}"
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
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
strictRevoke = true
revokeMs = 5000
recoveryS = 12
holdMaxMs = {hold_max_ms}
stopMs = 900
gangTimeoutMs = 3000
cancel_ms = 3000
visible_ms = 3000
early_ms = 250
finish_s = 14
status_s = 120
farFactor = 3
checkpointS = 0.5
restoreMs = 250
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
requireFence = false
leaseMs = 3000
thawSlackMs = 300
paceMs = 100
harmMs = 4000
reclaimMs = 3400
[platform]
address = "{store}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 5.0
partWritesPerS = 200
rowBytes = 65536
across = false
historyS = 20
blobBytes = 8388608
blobMs = 25.0
blobMbPerS = 80.0
"""


class Node:
    """A node of the system: a process that is restarted when it ends."""

    def __init__(self, name, zone, store, folder, hold_max_s=10.0) -> None:
        self.name, self.zone, self._folder = name, zone, folder
        self.front, self.ready = free_port(), free_port()
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(SETTINGS.format(
            name=name, zone=zone, host=HOST, front=self.front,
            ready=self.ready, internal=free_port(), store=store,
            hold_max_ms=int(hold_max_s * 1000),
        ))
        self.log = folder / f"{name}.log"
        self._process = None
        self.exits = 0
        self.dark_until = 0.0

    async def run(self) -> None:
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = shlex.split(deploy["roles"]["entry"]["run"])
        env = {
            k: os.environ[k] for k in ("PATH", "HOME", "LANG")
            if k in os.environ
        }
        env |= {
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "POMELOARCH_CONFIG": str(self._settings),
        }
        with self.log.open("ab") as log:
            try:
                while True:
                    self._process = await asyncio.create_subprocess_exec(
                        *command, stdout=log, stderr=log, env=env, cwd=ROOT
                    )
                    await self._process.wait()
                    self.exits += 1
                    left_s = self.dark_until - time.monotonic()
                    await asyncio.sleep(max(0.5, left_s))
            finally:
                if self._process and self._process.returncode is None:
                    self._process.kill()
                    await self._process.wait()

    def send(self, number: signal.Signals) -> None:
        if self._process and self._process.returncode is None:
            self._process.send_signal(number)

    def log_text(self) -> str:
        return self.log.read_text(errors="replace")


async def call(port, method, path, body=None, headers=None, timeout_s=3.0):
    """Makes a call; returns (status, body), or (0, reason) without answer."""
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(HOST, port)
            try:
                data = b"" if body is None else json.dumps(body).encode()
                lines = [f"{method} {path} HTTP/1.1"]
                sent = {
                    "Host": f"{HOST}:{port}", "Connection": "close",
                    "Content-Length": str(len(data)), **(headers or {}),
                }
                lines += [f"{k}: {v}" for k, v in sent.items()]
                head = "\r\n".join(lines) + "\r\n\r\n"
                writer.write(head.encode() + data)
                answer = await reader.read()
            finally:
                writer.transport.abort()
        head, _, rest = answer.partition(b"\r\n\r\n")
        if not head:
            return 0, "closed"
        status = int(head.split(b" ", 2)[1])
        with contextlib.suppress(ValueError):
            return status, json.loads(rest)
        return status, None
    except (TimeoutError, OSError, ValueError) as exc:
        return 0, repr(exc)


class Rig:
    """A small deployment: a store, nodes, executors and clients."""

    def __init__(self, folder: pathlib.Path, nodes=3, hold_max_s=10.0):
        self.record = Record(folder / "record.txt")
        self.jobs = Jobs()
        self.store = Store(self.record)
        self.temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self._count, self._hold_max_s = nodes, hold_max_s
        self.nodes: list[Node] = []
        self.executors: list[Executor] = []
        self._tasks: list[asyncio.Task] = []
        self._next = 0
        self.keys = {"t1": ["key-t1"], "t2": ["key-t2"]}
        self.routes = [
            ("urgent", "/urgent/", 0), ("scan", "/scan/", 1),
            ("batch", "/batch/", 2),
        ]
        self.version = 0

    def publish(self) -> None:
        self.version += 1
        self.store.put("op", "config", {
            "version": self.version,
            "routes": [
                {
                    "name": name, "host": "jobs.example",
                    "pathPrefix": prefix, "type": "unsafe",
                    "timeoutMs": 3000, "targetLatencyMs": 1000,
                    "priority": priority, "service": "svc",
                    "maxAttempts": 3, "stretch": 3.0, "public": False,
                }
                for name, prefix, priority in self.routes
            ],
            "services": [{
                "name": "svc", "healthPath": "/health",
                "maxConnections": 64, "protocol": "h1", "tls": False,
                "admissionCheck": True, "standby": False,
            }],
            "limits": {
                "maxHeaderBytes": 16384, "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000, "idleTimeoutMs": 15000,
            },
            "tenants": [
                {"name": n, "apiKeys": k, "priority": 1,
                 "guaranteed": {"gpu": 0}}
                for n, k in self.keys.items()
            ],
        })

    async def start(self, executors: int, **kinds) -> None:
        self.publish()
        for number in range(executors):
            executor = Executor(
                f"i-{number:08x}", "svc", "z" + "abc"[number % 3],
                f"r{number % 3}", self.store, self.jobs, self.record,
                hold_max_s=self._hold_max_s, **kinds,
            )
            await executor.start()
            self.executors.append(executor)
        for number in range(self._count):
            name = f"front-{number}"
            store = await self.store.endpoint(name)
            node = Node(
                name, "z" + "abc"[number % 3], store.address, self.temp,
                self._hold_max_s,
            )
            self.nodes.append(node)
            self._tasks.append(asyncio.create_task(node.run()))
        async with asyncio.timeout(30):
            for node in self.nodes:
                while (await call(node.ready, "GET", "/api/readiness"))[0] != 200:
                    await asyncio.sleep(0.2)
        self.record("all nodes are ready")

    def executor(self, name: str) -> Executor:
        return next(each for each in self.executors if each.name == name)

    def leader(self) -> Node | None:
        """Returns the node that leads, by the role's row."""
        row = self.store.get("roles", "batch_scheduler")
        holder = row and row.get("holder")
        return next((n for n in self.nodes if n.name == holder), None)

    def headers(self, tenant="t1", deadline_ms=3000):
        return {
            "Host": "jobs.example", "X-Api-Key": self.keys[tenant][0],
            "X-Request-Deadline": str(deadline_ms),
            "Content-Type": "application/json",
        }

    async def submit(self, job_id, body, queue="batch", quiet=False) -> bool:
        """Hands a job in as a client does; returns whether it was accepted."""
        self.jobs.bodies[job_id] = body
        for _ in range(6):
            self._next += 1
            node = self.nodes[self._next % len(self.nodes)]
            status, _ = await call(
                node.front, "POST", f"/{queue}/{job_id}", body, self.headers()
            )
            if not quiet or status != 200:
                self.record(f"client: POST {job_id} at {node.name}: {status}")
            if status == 200:
                return True
            await asyncio.sleep(0.5)
        return False

    async def ask(self, method, job_id, queue="batch", tenant="t1", tries=6):
        for _ in range(tries):
            self._next += 1
            node = self.nodes[self._next % len(self.nodes)]
            status, body = await call(
                node.front, method, f"/{queue}/{job_id}", None,
                self.headers(tenant),
            )
            if status in (200, 410, 401, 404):
                return status, body
            await asyncio.sleep(0.4)
        return status, body

    async def close(self) -> None:
        for each in self._tasks:
            each.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for each in self.executors:
            each.close()
        for each in self.store.endpoints:
            each.stop()
        keep = os.environ.get("KEEP")
        if keep:
            shutil.copytree(self.temp, keep, dirs_exist_ok=True)
        shutil.rmtree(self.temp, ignore_errors=True)


def overlaps(jobs: Jobs) -> list[str]:
    """Returns pairs of runs of one work item that were there at one time."""
    found = []
    by_task: dict[str, list[Run]] = {}
    for run in jobs.runs:
        by_task.setdefault(run.task, []).append(run)
    for runs in by_task.values():
        for i, one in enumerate(runs):
            for other in runs[i + 1:]:
                end = one.ended if one.ended is not None else float("inf")
                if other.began < end:
                    found.append(f"{one} and {other} at {other.began:.3f}")
    return found


def main(case, folder: str, **kinds) -> None:
    """Runs a case: `case(rig)` returns the broken rules, one a line."""

    async def play() -> int:
        rig = Rig(pathlib.Path(folder).resolve().parent, **kinds)
        try:
            async with asyncio.timeout(110):
                found = await case(rig)
        except Exception as exc:
            rig.record(f"the case could not run: {exc!r}")
            print(f"could not run: {exc!r}", file=sys.stderr)
            return 2
        finally:
            await rig.close()
        for each in found:
            rig.record(f"BROKEN {each}")
            print(f"BROKEN {each}")
        if not found:
            rig.record("the rule held")
            print("the rule held")
        return 1 if found else 0

    sys.exit(asyncio.run(play()))
