"""Stand-ins for the users' platform, used by the scripts of this review.

Only the standard library is needed. Each class follows the users' pages:
PROTOCOL (store, executors, jobs) and DEPLOY (settings, command, restarts).
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
import tempfile
import time
import tomllib
import traceback
import urllib.parse
from collections.abc import Awaitable, Callable
from typing import Any

# A loopback address of its own keeps the ports of several runs apart.
HOST = f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.1"
# Below the range from which the kernel assigns ports to connections.
PORTS = range(10_000, 30_000)
ROOT = pathlib.Path(__file__).resolve().parents[2]
# An entry of an executor is removed after three report intervals of silence.
HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
RESTART_PAUSE_S = 0.5
STORE_LATENCY_S = 0.004
MAX_ROWS = 500


class NoAnswer(Exception):
    """A call that gets no answer on its connection."""


class Record:
    """Writes what was sent, answered and run, with the time since the start."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self._began

    def write(self, text: str) -> None:
        """Writes one line."""
        line = f"{self.now():8.3f} {text}"
        print(line, file=self._file, flush=True)


def free_ports(count: int) -> list[int]:
    """Returns ports that are free now."""
    found: list[int] = []
    while len(found) < count:
        port = random.choice(PORTS)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((HOST, port))
            if port not in found:
                found.append(port)
    return found


class Request:
    """An HTTP request that was read whole."""

    def __init__(
        self, method: str, target: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        self.headers = headers
        self.body = body

    def json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


Handler = Callable[[Request], Awaitable[tuple[int, Any]]]


async def _read_head(reader: asyncio.StreamReader) -> list[str]:
    head = await reader.readuntil(b"\r\n\r\n")
    return head.decode("latin-1").split("\r\n")


def _parse_headers(lines: list[str]) -> dict[str, str]:
    found = {}
    for line in lines:
        name, separator, value = line.partition(":")
        if separator:
            found[name.strip().lower()] = value.strip()
    return found


class HttpServer:
    """A small HTTP/1.1 server with kept-alive connections."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self.port = 0

    @property
    def address(self) -> str:
        """Where it listens, `ip:port`."""
        return f"{HOST}:{self.port}"

    async def start(self) -> None:
        """Listens on a free port."""
        (self.port,) = free_ports(1)
        self._server = await asyncio.start_server(self._serve, HOST, self.port)

    async def stop(self) -> None:
        """Closes the listener and all connections."""
        if self._server is not None:
            self._server.close()
        for each in list(self._writers):
            each.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                lines = await _read_head(reader)
                method, target, _ = lines[0].split(" ")
                headers = _parse_headers(lines[1:])
                size = int(headers.get("content-length", "0"))
                body = await reader.readexactly(size)
                request = Request(method, target, headers, body)
                try:
                    status, answer = await self._handler(request)
                except NoAnswer:
                    # The connection stays open and delivers nothing further.
                    await reader.read()
                    return
                data = json.dumps(answer).encode()
                writer.write(
                    f"HTTP/1.1 {status} X\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            # The task is cancelled only when the script ends.
            pass
        finally:
            self._writers.discard(writer)
            writer.transport.abort()


class Call:
    """The outcome of a client's call; status 0 means no answer."""

    def __init__(self, status: int, body: Any) -> None:
        self.status = status
        self.body = body


async def call(
    address: str,
    method: str,
    path: str,
    headers: dict[str, str],
    body: Any = None,
    timeout_s: float = 3.0,
) -> Call:
    """Makes one call on a connection of its own."""
    data = b"" if body is None else json.dumps(body).encode()
    host, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if data:
                lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(data)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            head = await _read_head(reader)
            found = _parse_headers(head[1:])
            size = int(found.get("content-length", "0"))
            answer = await reader.readexactly(size)
            status = int(head[0].split(" ")[1])
            with contextlib.suppress(ValueError):
                return Call(status, json.loads(answer or b"null"))
            return Call(status, None)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        return Call(0, None)
    finally:
        if writer is not None:
            writer.transport.abort()


RowKey = tuple[str, str, str]


class Store:
    """The platform's store: rows in tables, one version counter, a feed.

    Attributes:
      lose_write: given the body of a transaction, returns after how many
        seconds it is performed without an answer; None to answer it.
    """

    def __init__(self, record: Record) -> None:
        self._record = record
        self._rows: dict[RowKey, tuple[str | None, int]] = {}
        self._version = 0
        self._changed = asyncio.Event()
        self._late: set[asyncio.Task[None]] = set()
        self.lose_write: Callable[[Any], float | None] = lambda body: None
        self.server = HttpServer(self._handle)

    def put(self, table: str, key: str, value: Any) -> None:
        """Writes a row of the operator or an executor; None deletes it."""
        text = None
        if value is not None:
            text = base64.b64encode(json.dumps(value).encode()).decode()
        elif self._rows.get((table, "", key), (None, 0))[0] is None:
            return
        self._version += 1
        self._rows[table, "", key] = text, self._version
        self._notify()

    def value(self, table: str, key: str) -> Any:
        """Returns the decoded value of a row in any part, None without one."""
        for (found_table, _, found_key), (text, _) in self._rows.items():
            if (found_table, found_key) == (table, key) and text is not None:
                return json.loads(base64.b64decode(text))
        return None

    def _notify(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _handle(self, request: Request) -> tuple[int, Any]:
        await asyncio.sleep(STORE_LATENCY_S)
        if request.path == "/api/rows-tx":
            body = request.json()
            delay_s = self.lose_write(body)
            if delay_s is not None:
                self._perform_later(body, delay_s)
                raise NoAnswer
            return self._transact(body)
        if request.path == "/api/rows-get":
            return self._get(request.query)
        if request.path == "/api/rows-feed":
            return await self._feed(request.query)
        if request.path == "/api/rows-parts":
            table = request.query["table"]
            parts = sorted({p for (t, p, _) in self._rows if t == table})
            return 200, {"parts": parts}
        return 404, {}

    def _perform_later(self, body: Any, delay_s: float) -> None:
        async def perform() -> None:
            await asyncio.sleep(delay_s)
            status, _ = self._transact(body)
            names = [f"{e['table']}/{e['key']}" for e in body["setKeys"]]
            self._record.write(
                f"store: late write of {names} performed: {status}"
            )

        task = asyncio.create_task(perform())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    @staticmethod
    def _key(entry: Any) -> RowKey:
        return entry["table"], entry.get("part", ""), entry["key"]

    def _transact(self, body: Any) -> tuple[int, Any]:
        checks = body.get("expectedRev", [])
        puts, drops = body.get("setKeys", []), body.get("remove", [])
        if any(each["table"] in ("op", "servers") for each in puts + drops):
            return 403, {}
        for each in checks:
            text, version = self._rows.get(self._key(each), (None, 0))
            if (version if text is not None else 0) != each["ver"]:
                rows = [self._wire(self._key(one)) for one in checks]
                return 412, self._answer(rows)
        self._version += 1
        for each in puts:
            self._rows[self._key(each)] = each["value"], self._version
        for each in drops:
            if self._rows.get(self._key(each), (None, 0))[0] is not None:
                self._rows[self._key(each)] = None, self._version
        self._notify()
        return 200, self._answer([])

    def _wire(self, key: RowKey) -> dict[str, Any]:
        text, version = self._rows.get(key, (None, 0))
        table, part, name = key
        row: dict[str, Any] = {"table": table, "part": part, "key": name}
        if text is None:
            return {**row, "ver": 0}
        return {**row, "value": text, "ver": version}

    def _answer(self, rows: list[Any], more: bool = False) -> dict[str, Any]:
        return {
            "rows": rows,
            "ver": self._version,
            "nowMs": int(time.monotonic() * 1000),
            "morePages": more,
        }

    def _get(self, query: dict[str, str]) -> tuple[int, Any]:
        first, end = query.get("from", ""), query.get("target")
        keys = sorted(
            key
            for key, (text, _) in self._rows.items()
            if key[0] == query["table"]
            and key[1] == query.get("part", "")
            and text is not None
            and key[2] >= first
            and (end is None or key[2] < end)
        )
        limit = min(MAX_ROWS, int(query.get("limit", MAX_ROWS)))
        rows = [self._wire(key) for key in keys[:limit]]
        return 200, self._answer(rows, len(keys) > limit)

    async def _feed(self, query: dict[str, str]) -> tuple[int, Any]:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            changed = self._changed
            found = sorted(
                (version, key)
                for key, (_, version) in self._rows.items()
                if key[0] == table and version > after
            )
            left_s = until - time.monotonic()
            if found or left_s <= 0:
                break
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await changed.wait()
        rows = []
        for version, key in found:
            if self._rows[key][0] is None:
                row = {"table": key[0], "part": key[1], "key": key[2]}
                rows.append({**row, "ver": version, "deleted": True})
            else:
                rows.append(self._wire(key))
        return 200, self._answer(rows)


class Run:
    """A run of a work item that an executor has begun."""

    def __init__(self, task: str, run: int, began: float, work_s: float):
        self.task = task
        self.run = run
        self.began = began
        self.work_s = work_s
        self.ended: float | None = None
        self.how = ""


class Executor:
    """An executor: takes orders, keeps leases, lists ends, reports itself.

    A work item works for the seconds that its `spec` names, as in `work 2.5`;
    one whose spec is `lasts` works until it is stopped.

    Attributes:
      runs: all runs that it has begun, in all its lives.
      is_cut: whether it is cut off from the nodes and from the store.
      on_start: called with the body of a start order that arrives; returns
        after how many seconds it is carried out without an answer, None to
        carry it out and answer it at once.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        rack: str,
        service: str,
        store: Store,
        record: Record,
        hold_max_ms: int,
        kind: str = "a",
        gpus: int = 8,
    ) -> None:
        self.name = name
        self._kind = kind
        self._zone = zone
        self._rack = rack
        self._service = service
        self._store = store
        self._record = record
        self._hold_max_ms = hold_max_ms
        self._gpus = gpus
        self.runs: list[Run] = []
        self.is_cut = False
        self.is_down = False
        self.on_start: Callable[[Any], float | None] = lambda body: None
        self.server = HttpServer(self._handle)
        self._late: set[asyncio.Task[None]] = set()
        # It has been up for some minutes already.
        self._begin_life(clock_ms=300_000)

    def _begin_life(self, clock_ms: int) -> None:
        self._born_ms = int(time.time() * 1000)
        self._clock_zero = time.monotonic() - clock_ms / 1000
        self._fence = 0
        self._deadline_ms = 0
        self._running: dict[str, Run] = {}
        self._ends: list[list[Any]] = []
        self._end_count = 0
        self._barred: dict[str, int] = {}
        self._ended = asyncio.Event()
        self._seq = 0

    def clock_ms(self) -> int:
        """Returns the time on its own clock."""
        return int((time.monotonic() - self._clock_zero) * 1000)

    async def run(self) -> None:
        """Reports itself and ends runs until cancelled."""
        report_due, expires = 0.0, time.monotonic() + 5.0
        while True:
            now = time.monotonic()
            reports = not self.is_cut and not self.is_down
            if reports and (now >= report_due or self._seq == 0):
                report_due = now + HEARTBEAT_S
                expires = now + MISSED_HEARTBEATS * HEARTBEAT_S
                self._report()
            elif now >= expires:
                self._store.put("servers", self.name, None)
            self._end_runs(now)
            await asyncio.sleep(0.01)

    def _report(self) -> None:
        self._seq += 1
        self._store.put(
            "servers",
            self.name,
            {
                "service": self._service,
                "address": self.server.address,
                "zone": self._zone,
                "version": "1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "seq": self._seq,
                "born": self._born_ms,
                "capacity": {
                    "cpu": 128000,
                    "memMb": 262144,
                    "gpu": self._gpus,
                },
                "labels": [self._kind, self._rack],
            },
        )

    def _end_runs(self, now: float) -> None:
        for run in list(self._running.values()):
            if now >= run.began + run.work_s:
                self._end(run, "done")
            elif self.clock_ms() >= self._deadline_ms:
                self._end(run, "lapsed")

    def _end(self, run: Run, how: str) -> None:
        run.ended, run.how = time.monotonic(), how
        self._running.pop(run.task, None)
        self._barred[run.task] = max(self._barred.get(run.task, 0), run.run)
        self._end_count += 1
        self._ends.append([self._end_count, run.task, run.run, how, ""])
        self._ended.set()
        self._ended = asyncio.Event()
        self._record.write(f"{self.name}: run {run.task} {run.run} ends {how}")

    def crash(self) -> None:
        """Loses all that runs and all that it knows."""
        self._record.write(f"{self.name}: crashes")
        self.is_down = True
        for run in self._running.values():
            run.ended, run.how = time.monotonic(), "crash"
        self._running.clear()

    def restart(self) -> None:
        """Begins another life under the same id."""
        self._record.write(f"{self.name}: starts again under its id")
        self._begin_life(clock_ms=0)
        self.is_down = False

    async def _handle(self, request: Request) -> tuple[int, Any]:
        if self.is_cut or self.is_down:
            raise NoAnswer
        body = request.json()
        if request.path == "/api/run-start":
            delay_s = self.on_start(body)
            if delay_s is not None:
                self._carry_out_later(body, delay_s)
                raise NoAnswer
            if self.is_down:
                raise NoAnswer
        if request.headers.get("x-expected-instance") != self.name:
            return 421, {}
        life = self._born_ms
        if request.path == "/api/run-start":
            answer = self._start(body)
        elif request.path == "/api/run-stop":
            answer = self._stop(body)
        elif request.path == "/api/hold":
            answer = await self._hold(body)
        elif request.path == "/api/pace":
            answer = 200, {}
        else:
            return 404, {}
        if self.is_cut or self.is_down or life != self._born_ms:
            raise NoAnswer
        status, fields = answer
        fields = {"clockMs": self.clock_ms(), "born": self._born_ms, **fields}
        return status, fields

    def _carry_out_later(self, body: Any, delay_s: float) -> None:
        async def carry_out() -> None:
            await asyncio.sleep(delay_s)
            if self.is_down:
                return
            status, answer = self._start(body)
            self._record.write(
                f"{self.name}: late order to start {body['task']} "
                f"{body['run']} is carried out: {status} {answer}"
            )

        self._record.write(
            f"{self.name}: order to start {body['task']} {body['run']} with "
            f"fence {body['fenceToken']} gets no answer"
        )
        task = asyncio.create_task(carry_out())
        self._late.add(task)
        task.add_done_callback(self._late.discard)

    def _is_fenced_off(self, body: Any) -> bool:
        fence = body.get("fenceToken", 0)
        if fence < self._fence:
            return True
        self._fence = fence
        return False

    def _grant(self, deadline_ms: int) -> None:
        latest = self.clock_ms() + self._hold_max_ms
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, latest))

    def _start(self, body: Any) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        if self._is_fenced_off(body):
            return 409, {"reason": "fence"}
        current = self._running.get(task)
        if current is not None and current.run == number:
            return 200, {}
        if number <= self._barred.get(task, 0):
            self._grant(body["deadlineMs"])
            return 409, {"reason": "old"}
        if body["deadlineMs"] <= self.clock_ms():
            return 409, {"reason": "late"}
        self._grant(body["deadlineMs"])
        if len(self._running) >= 1:
            # Each work item of these scripts takes all the accelerators.
            return 409, {"reason": "room"}
        words = body["spec"].split()
        work_s = float(words[1]) if words[0] == "work" else float("inf")
        run = Run(task, number, time.monotonic(), work_s)
        self._running[task] = run
        self.runs.append(run)
        self._record.write(
            f"{self.name}: run {task} {number} begins, "
            f"fence {body['fenceToken']}"
        )
        return 200, {}

    def _stop(self, body: Any) -> tuple[int, Any]:
        task, number = body["task"], body["run"]
        if self._is_fenced_off(body):
            return 409, {"reason": "fence"}
        self._barred[task] = max(self._barred.get(task, 0), number)
        current = self._running.get(task)
        if current is not None and current.run <= number:
            self._end(current, "stopped")
        return 200, {}

    async def _hold(self, body: Any) -> tuple[int, Any]:
        if self._is_fenced_off(body):
            return 409, {"reason": "fence"}
        acked = body.get("ackedThrough", 0)
        self._ends = [each for each in self._ends if each[0] > acked]
        if "deadlineMs" in body:
            self._grant(body["deadlineMs"])
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not self._ends:
            ended = self._ended
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_s):
                    await ended.wait()
        now = time.monotonic()
        running = [
            [r.task, r.run, "", self._percent(r, now), 1000]
            for r in self._running.values()
        ]
        return 200, {"running": running, "endedRuns": self._ends[:500]}

    @staticmethod
    def _percent(run: Run, now: float) -> int:
        if run.work_s == float("inf"):
            return 100 if now > run.began + 0.3 else 50
        return min(99, int(100 * (now - run.began) / run.work_s))


SETTINGS = """\
node = "{name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{host}"
zone = "{zone}"
region = "r"
internalPorts = [{internal}, {internal}]
seeds = []
bootstrap = true
lossCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "invocation"
advice = ""
[listenAddrs]
front = "{host}:{front}"
ready = "{host}:{ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
[bounds]
contactMs = 3000
ackTimeoutMs = 4000
drainMs = 2000
graceS = 6
revokeMs = 5000
holdMaxMs = {hold_max_ms}
stopMs = 200
cancel_ms = 3000
visible_ms = 3000
status_s = 120
farFactor = 3
noticeMs = 4500
moveS = 1.5
maintenanceS = 2
leaseMs = 3000
reclaimMs = 2700
[platform]
address = "{store}"
form = "table"
writesPerS = 600
readsPerS = 2000
txMs = 5.0
rowBytes = 65536
[cloud]
address = "{cloud}"
ratePerS = 60.0
"""


class Node:
    """A machine that runs the program of the deploy file."""

    def __init__(
        self,
        name: str,
        zone: str,
        store: str,
        folder: pathlib.Path,
        record: Record,
        hold_max_ms: int,
        cloud: str = "",
    ) -> None:
        front, ready, internal = free_ports(3)
        self.name = name
        self.front = f"{HOST}:{front}"
        self.ready = f"{HOST}:{ready}"
        self._record = record
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.toml"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                host=HOST,
                internal=internal,
                front=front,
                ready=ready,
                store=store,
                cloud=cloud,
                hold_max_ms=hold_max_ms,
            )
        )
        self._process: asyncio.subprocess.Process | None = None
        self._restart_pause_s = RESTART_PAUSE_S

    async def run(self) -> None:
        """Keeps a process running until cancelled."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["entry"]["run"].split()
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["POMELOARCH_CONFIG"] = str(self._settings)
        with self._log.open("ab") as log:
            try:
                while True:
                    self._process = await asyncio.create_subprocess_exec(
                        *command,
                        cwd=ROOT,
                        env=environment,
                        stdin=asyncio.subprocess.DEVNULL,
                        stdout=log,
                        stderr=log,
                    )
                    code = await self._process.wait()
                    self._record.write(f"{self.name}: process ends, {code}")
                    await asyncio.sleep(self._restart_pause_s)
            finally:
                if self._process and self._process.returncode is None:
                    self._signal(signal.SIGKILL)
                    await self._process.wait()

    def _signal(self, number: signal.Signals) -> None:
        if self._process is not None and self._process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(self._process.pid, number)

    def kill(self, dark_s: float = RESTART_PAUSE_S) -> None:
        """Kills the process, which is started again after a time."""
        self._record.write(f"{self.name}: is killed")
        self._restart_pause_s = dark_s
        self._signal(signal.SIGKILL)

    async def is_ready(self) -> bool:
        """Returns whether it reports itself ready."""
        answer = await call(
            self.ready,
            "GET",
            "/api/readiness",
            {"Host": self.ready},
            timeout_s=0.5,
        )
        return answer.status == 200


SERVICE = "scorer"
QUEUE_HOST = "husk.example"
PREFIX = "/lots/"
URGENT_PREFIX = "/urgent/"
KEY = "key-of-tenant-1"


def manifest(version: int = 1, max_attempts: int = 4) -> dict[str, Any]:
    """Returns a manifest with two queues and one tenant."""

    def route(name: str, prefix: str, priority: int) -> dict[str, Any]:
        return {
            "name": name,
            "service": SERVICE,
            "host": QUEUE_HOST,
            "pathPrefix": prefix,
            "priority": priority,
            "maxAttempts": max_attempts,
            "stretch": 3.0,
            "targetLatencyMs": 1000,
        }

    return {
        "version": version,
        "routes": [
            route("lots", PREFIX, 1),
            route("urgent", URGENT_PREFIX, 0),
        ],
        "services": [{"name": SERVICE, "admissionCheck": True}],
        "limits": {"maxBodyBytes": 262144},
        "tenants": [{"name": "t1", "apiKeys": [KEY], "guaranteed": {"gpu": 8}}],
    }


class Scene:
    """A small deployment: a store, nodes and executors.

    Args:
      folder: the case's folder, in which `record.txt` is written.
      hold_max_ms: the longest lease of an executor.
    """

    def __init__(self, folder: pathlib.Path, hold_max_ms: int = 6000) -> None:
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(folder / "record.txt")
        self.hold_max_ms = hold_max_ms
        self.store = Store(self.record)
        self.nodes: list[Node] = []
        self.executors: list[Executor] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._folder = tempfile.TemporaryDirectory()
        self.folder = pathlib.Path(self._folder.name)

    async def __aenter__(self) -> Scene:
        await self.store.server.start()
        self.store.put("op", "config", manifest())
        return self

    async def __aexit__(self, *_exc: object) -> None:
        for each in self._tasks:
            each.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        if os.environ.get("KEEP_LOGS"):
            for path in sorted(self.folder.glob("*.log")):
                target = pathlib.Path(os.environ["KEEP_LOGS"]) / path.name
                target.write_bytes(path.read_bytes())
        self._folder.cleanup()

    def background(self, work: Any) -> None:
        """Runs a coroutine until the scene ends."""
        self._tasks.append(asyncio.create_task(work))

    async def add_executor(
        self, name: str, zone: str, rack: str, kind: str = "a"
    ) -> Executor:
        """Adds an executor that reports itself at once."""
        found = Executor(
            name,
            zone,
            rack,
            SERVICE,
            self.store,
            self.record,
            self.hold_max_ms,
            kind,
        )
        await found.server.start()
        self.executors.append(found)
        self.background(found.run())
        self.record.write(f"{name}: joins, rack {rack}")
        return found

    def add_node(self, name: str, zone: str, cloud: str = "") -> Node:
        """Adds a node and starts its process."""
        node = Node(
            name,
            zone,
            self.store.server.address,
            self.folder,
            self.record,
            self.hold_max_ms,
            cloud,
        )
        self.nodes.append(node)
        self.background(node.run())
        return node

    async def wait_until(
        self, is_true: Callable[[], bool], timeout_s: float
    ) -> bool:
        """Waits for a condition; returns whether it came true in time."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if is_true():
                return True
            await asyncio.sleep(0.005)
        return is_true()

    async def wait_until_ready(self) -> bool:
        """Waits until all nodes are ready and one leads."""
        until = time.monotonic() + 20
        while time.monotonic() < until:
            ready = [await each.is_ready() for each in self.nodes]
            if all(ready) and self.leader() is not None:
                # The new leader reads the tables and the list of executors.
                await asyncio.sleep(2.0)
                return True
            await asyncio.sleep(0.1)
        return False

    def leader(self) -> Node | None:
        """Returns the node that the row of the scheduler's role names."""
        row = self.store.value("roles", "batch_scheduler")
        names = {each.name: each for each in self.nodes}
        return names.get(row["holder"]) if row else None

    async def client_call(
        self,
        node: Node,
        method: str,
        job: str,
        body: Any = None,
        prefix: str = PREFIX,
        budget_ms: int = 3000,
    ) -> Call:
        """Calls a node as a client of the tenant does."""
        headers = {
            "Host": QUEUE_HOST,
            "X-Api-Key": KEY,
            "X-Request-Deadline": str(budget_ms),
        }
        path = prefix + job
        answer = await call(
            node.front, method, path, headers, body, budget_ms / 1000
        )
        self.record.write(
            f"client: {method} {path} to {node.name}: "
            f"{answer.status} {answer.body}"
        )
        return answer


def overlaps(executors: list[Executor]) -> list[str]:
    """Returns a sentence for each two runs of a work item at the same time."""
    runs = [(each, run) for each in executors for run in each.runs]
    found = []
    end = time.monotonic()
    for number, (one, first) in enumerate(runs):
        for other, second in runs[number + 1 :]:
            if first.task != second.task:
                continue
            began = max(first.began, second.began)
            ended = min(first.ended or end, second.ended or end)
            if ended > began:
                found.append(
                    f"{first.task}: run {first.run} on {one.name} and run "
                    f"{second.run} on {other.name} at the same time for "
                    f"{ended - began:.3f} s"
                )
    return found


def main(play: Callable[[Scene], Awaitable[int]], folder: pathlib.Path) -> int:
    """Plays a case within 120 s; returns its exit code."""

    async def run() -> int:
        task = asyncio.current_task()
        assert task is not None
        # The nodes end with the script, also when it is told to end.
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(110), Scene(folder) as scene:
            code = await play(scene)
            scene.record.write(f"exit code {code}")
            return code

    try:
        return asyncio.run(run())
    except (Exception, asyncio.CancelledError):
        # The case couldn't run; only a broken rule ends with 1.
        traceback.print_exc()
        return 2
