"""Reaches the platform through a node of another zone when cut off from it.

A zone that can't reach the platform but can reach another zone goes on
claiming idempotency keys, taking jobs and renewing its roles: a call that is
certainly not done here is made by a peer instead. What was in doubt stays in
doubt: a write that may have taken effect is never made a second time.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable, Sequence
from typing import TypeVar

from result import Err, Ok, Result

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessage, PeerMessenger
from pomeloarch_node.platform import (
    Check,
    Conflict,
    Host,
    PlatformClient,
    PlatformError,
    PlatformFailure,
    Row,
    Write,
)
from pomeloarch_node.platform_helper import PlatformHelper
from pomeloarch_node.platform_relay_messages import (
    Failed,
    ReadCall,
    RelayedAnswer,
    RelayedCall,
    RowsRead,
    ScanCall,
    TransactCall,
    Transacted,
    decode_message,
    encode_message,
)

TOPIC = "platform"

# Failures of this node's own calls in a row, after which it asks peers.
_FAILURES_TO_RELAY = 2
_PROBE_S = 1.0
_ANSWER_TIMEOUT_S = 3.0
_HELPERS_TRIED = 2
_NUMBER_BITS = 48

T = TypeVar("T")


class PlatformRelay:
    """A `PlatformClient` over this node's own client and its peers.

    Args:
      direct: this node's own client.
      peers: the other nodes.
      node: this node.
      zone: its availability zone; helpers of others come first.
      clock: monotonic time, in seconds.
      metrics: counts calls that were relayed or made for others.
      rng: chooses among helpers.
    """

    def __init__(
        self,
        direct: PlatformClient,
        peers: PeerMessenger,
        node: NodeId,
        zone: ZoneName,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Starts with the platform believed within reach."""
        self._direct = direct
        self._peers = peers
        self._node = node
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._failures = 0
        # An answer to this node's former process must fit no call of this one.
        self._numbers = itertools.count(rng.getrandbits(_NUMBER_BITS))
        self._waiting: dict[int, asyncio.Future[RelayedAnswer]] = {}
        self._helping: set[asyncio.Task[None]] = set()
        self._helper = PlatformHelper(direct, clock, metrics)
        self._messages = peers.subscribe(TOPIC)

    @property
    def cut_off(self) -> bool:
        """Whether this node's own calls fail at present."""
        return self._failures >= _FAILURES_TO_RELAY

    async def run(self) -> None:
        """Serves peers and probes the platform until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._follow_peers())
            group.create_task(self._probe())

    # ---- calls of this node

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""
        if not self.cut_off:
            answer = await self._direct.transact(checks, writes)
            self._note(answer)
            if not _may_be_relayed(answer):
                return answer
        call = TransactCall(next(self._numbers), tuple(checks), tuple(writes))
        relayed = await self._relay(call)
        if isinstance(relayed, Err):
            return relayed
        message = relayed.ok_value
        if not isinstance(message, Transacted):
            return Err(_failure_of(message))
        if message.conflicts is not None:
            return Err(Conflict(rows=message.conflicts))
        return Ok(message.versions)

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""
        call = ReadCall(next(self._numbers), tuple(keys))
        return await self._rows(lambda: self._direct.read(keys), call)

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""
        call = ScanCall(next(self._numbers), table, prefix, after, limit)
        return await self._rows(
            lambda: self._direct.scan(table, prefix, after, limit), call
        )

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the lagging list of hosts, which peers share by themselves."""
        return await self._direct.membership()

    async def _rows(
        self,
        direct: Callable[[], Awaitable[Result[tuple[Row, ...], PlatformError]]],
        call: RelayedCall,
    ) -> Result[tuple[Row, ...], PlatformError]:
        if not self.cut_off:
            answer = await direct()
            self._note(answer)
            # A read may be made again whatever became of it.
            if answer.is_ok() or not self.cut_off:
                return answer
        relayed = await self._relay(call)
        if isinstance(relayed, Err):
            return relayed
        message = relayed.ok_value
        if isinstance(message, RowsRead):
            return Ok(message.rows)
        return Err(_failure_of(message))

    def _note(self, answer: Result[T, Conflict | PlatformError]) -> None:
        error = answer.err()
        reached = not isinstance(error, PlatformError) or error.reached
        self._failures = 0 if reached else self._failures + 1

    # ---- asking peers

    async def _relay(
        self, call: RelayedCall
    ) -> Result[RelayedAnswer, PlatformError]:
        """Asks helpers in turn, until one may have made the call."""
        for helper in self._helpers():
            answer = await self._ask(helper, call)
            if answer is not None:
                return answer
        return Err(
            PlatformError(
                PlatformFailure.NOT_DONE,
                "the platform can't be reached, nor a peer that reaches it",
            )
        )

    async def _ask(
        self, helper: NodeId, call: RelayedCall
    ) -> Result[RelayedAnswer, PlatformError] | None:
        """Returns an answer or a doubt, None if the helper did nothing."""
        fut = asyncio.get_running_loop().create_future()
        self._waiting[call.number] = fut
        try:
            if not await self._send(helper, call):
                return None
            self._metrics.count("platform_calls_relayed")
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                answer = await fut
        except TimeoutError:
            if not isinstance(call, TransactCall):
                return None
            return Err(
                PlatformError(
                    PlatformFailure.UNKNOWN, f"{helper} gave no answer"
                )
            )
        finally:
            del self._waiting[call.number]
        if _helper_did_nothing(answer):
            return None
        return Ok(answer)

    def _helpers(self) -> list[NodeId]:
        zones = self._peers.live_nodes()
        nodes = [node for node in zones if node != self._node]
        self._rng.shuffle(nodes)
        nodes.sort(key=lambda node: zones[node] == self._zone)
        return nodes[:_HELPERS_TRIED]

    # ---- helping peers

    async def _follow_peers(self) -> None:
        while True:
            message = await self._messages.get()
            decoded = decode_message(message.payload)
            if isinstance(decoded, Err):
                self._metrics.count("platform_relay_garbage")
                continue
            self._take(message, decoded.ok_value)

    def _take(
        self, message: PeerMessage, content: RelayedCall | RelayedAnswer
    ) -> None:
        if isinstance(content, TransactCall | ReadCall | ScanCall):
            task = asyncio.create_task(self._help(message.sender, content))
            self._helping.add(task)
            task.add_done_callback(self._helping.discard)
            return
        fut = self._waiting.get(content.number)
        if fut is not None and not fut.done():
            fut.set_result(content)

    async def _help(self, peer: NodeId, call: RelayedCall) -> None:
        answer = await self._helper.answer(call, may_help=not self.cut_off)
        await self._send(peer, answer)

    async def _send(
        self, peer: NodeId, message: RelayedCall | RelayedAnswer
    ) -> bool:
        payload = encode_message(message)
        return await self._peers.send(peer, TOPIC, payload, data=True)

    async def _probe(self) -> None:
        """Finds out when the platform is within reach again."""
        while True:
            await asyncio.sleep(_PROBE_S * self._rng.uniform(0.75, 1.25))
            if self.cut_off:
                self._note(await self._direct.read([("config", "head")]))


def _helper_did_nothing(answer: RelayedAnswer) -> bool:
    return (
        isinstance(answer, Failed)
        and answer.failure is PlatformFailure.NOT_DONE
        and not answer.reached
    )


def _may_be_relayed(
    answer: Result[tuple[int, ...], Conflict | PlatformError],
) -> bool:
    """Whether a write was certainly not done for want of a connection."""
    error = answer.err()
    return (
        isinstance(error, PlatformError)
        and error.failure is PlatformFailure.NOT_DONE
        and not error.reached
    )


def _failure_of(message: RelayedAnswer) -> PlatformError:
    if isinstance(message, Failed):
        return message.error()
    return PlatformError(PlatformFailure.UNKNOWN, "a peer answered wrongly")
