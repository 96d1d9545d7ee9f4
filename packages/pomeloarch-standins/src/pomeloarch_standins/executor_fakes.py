"""An in-memory peer plane and platform tables for tests of one node."""

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


class SingleNodePeers:
    """A peer plane without peers whose received digests a test sets.

    Attributes:
      sent: this node's digests by topic.
      received: the digests of other nodes by topic and node.
    """

    def __init__(self) -> None:
        """Creates a plane without digests."""
        self.sent: dict[str, bytes] = {}
        self.received: dict[str, dict[NodeId, PeerMessage]] = {}

    def set_digest(self, topic: str, payload: bytes) -> None:
        """Stores this node's digest of a topic."""
        self.sent[topic] = payload

    def digests(self, topic: str) -> dict[NodeId, PeerMessage]:
        """Returns the digests that the test has set."""
        return self.received.get(topic, {})

    def receive_names(self, topic: str, names: Sequence[str]) -> None:
        """Sets another node's digest of a topic to executors' names."""
        self.received[topic] = {
            NodeId("node-2"): PeerMessage(
                NodeId("node-2"),
                ZoneName(_ZONE),
                topic,
                encode_names(ExecutorId(name) for name in names),
            )
        }

    def live_nodes(self) -> dict[NodeId, ZoneName]:
        """Returns only this node."""
        return {NodeId("node-1"): ZoneName(_ZONE)}

    async def send(
        self, node: NodeId, topic: str, payload: bytes, *, data: bool = False
    ) -> bool:
        """Returns False, because there is no other node."""
        return False

    def subscribe(self, topic: str) -> asyncio.Queue[PeerMessage]:
        """Returns a queue that stays empty."""
        return asyncio.Queue()


class MemoryTables:
    """In-memory tables of the platform with injectable faults.

    Attributes:
      rows: all rows by table and key.
      down: whether every call fails without effect.
      lose_answers: the number of the next writes that take effect but whose
        answer is lost.
      writes: the number of rows written.
    """

    def __init__(self) -> None:
        """Creates empty tables without faults."""
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
        conflicts = [
            self._row(check.table, check.key)
            for check in checks
            if self._row(check.table, check.key).version != check.version
        ]
        if conflicts:
            return Err(Conflict(tuple(conflicts)))
        versions = tuple(self._write(write) for write in writes)
        self.writes += len(writes)
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(PlatformError(PlatformFailure.UNKNOWN, "lost"))
        return Ok(versions)

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows in the order of the given keys."""
        if self.down:
            return Err(PlatformError(PlatformFailure.NOT_DONE, "down"))
        return Ok(tuple(self._row(*key) for key in keys))

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Returns no rows."""
        return Ok(())

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Returns an empty list of hosts."""
        return Ok(())

    def _row(self, table: str, key: str) -> Row:
        return self.rows.get((table, key), Row(table, key, 0))

    def _write(self, write: Write) -> int:
        version = self._row(write.table, write.key).version + 1
        self.rows[write.table, write.key] = Row(
            write.table, write.key, version, write.value
        )
        return version
