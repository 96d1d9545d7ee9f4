"""A peer plane and the platform's tables in memory, for one node's tests."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from result import Err, Ok, Result

from pomeloarch_core.ids import ExecutorId, NodeId, ZoneName
from pomeloarch_core.routing.load_digest import encode_names
from pomeloarch_node.peers import PeerMessage
from pomeloarch_node.platform import (
    Check,
    Conflict,
    Host,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)

_ZONE = "patan"


class LonelyPeers:
    """A peer plane whose digests are set by a test."""

    def __init__(self) -> None:
        """Starts without any other node."""
        self.told: dict[str, bytes] = {}
        self.heard: dict[str, dict[NodeId, PeerMessage]] = {}

    def set_digest(self, topic: str, payload: bytes) -> None:
        """Keeps this node's digest."""
        self.told[topic] = payload

    def digests(self, topic: str) -> dict[NodeId, PeerMessage]:
        """Returns what the test has set."""
        return self.heard.get(topic, {})

    def hear(self, topic: str, names: Sequence[str]) -> None:
        """Lets another node tell a digest of executors' names."""
        self.heard[topic] = {
            NodeId("node-2"): PeerMessage(
                NodeId("node-2"),
                ZoneName(_ZONE),
                topic,
                encode_names(ExecutorId(name) for name in names),
            )
        }

    def live_nodes(self) -> dict[NodeId, ZoneName]:
        """Returns this node alone."""
        return {NodeId("node-1"): ZoneName(_ZONE)}

    async def send(
        self, node: NodeId, topic: str, payload: bytes, *, data: bool = False
    ) -> bool:
        """Sends nothing."""
        return False

    def subscribe(self, topic: str) -> asyncio.Queue[PeerMessage]:
        """Returns a queue that stays empty."""
        return asyncio.Queue()


class MemoryTables:
    """The platform's tables in memory, with faults of its answers.

    Attributes:
      rows: all rows by table and key.
      down: every call fails without effect.
      lose_answers: how many of the next writes take effect unanswered.
    """

    def __init__(self) -> None:
        """Starts empty."""
        self.rows: dict[tuple[str, str], Row] = {}
        self.down = False
        self.lose_answers = 0
        self.writes = 0

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold."""
        if self.down:
            return Err(PlatformError(PlatformFailure.NOT_DONE, "down"))
        wrong = [
            self._row(check.table, check.key)
            for check in checks
            if self._row(check.table, check.key).version != check.version
        ]
        if wrong:
            return Err(Conflict(tuple(wrong)))
        versions = tuple(self._write(write) for write in writes)
        self.writes += len(writes)
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(PlatformError(PlatformFailure.UNKNOWN, "lost"))
        return Ok(versions)

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows."""
        if self.down:
            return Err(PlatformError(PlatformFailure.NOT_DONE, "down"))
        return Ok(tuple(self._row(*key) for key in keys))

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Finds nothing."""
        return Ok(())

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Lists nothing."""
        return Ok(())

    def _row(self, table: str, key: str) -> Row:
        return self.rows.get((table, key), Row(table, key, 0))

    def _write(self, write: Write) -> int:
        version = self._row(write.table, write.key).version + 1
        self.rows[write.table, write.key] = Row(
            write.table, write.key, version, write.value
        )
        return version
