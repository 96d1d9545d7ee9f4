"""Reaches the platform through a peer when this node is cut off from it.

A zone that cannot reach the platform but can reach another zone continues to
claim idempotency keys, to accept jobs and to renew its roles: a call that has
certainly not taken effect is made by a peer instead. A write that may have
taken effect is never made a second time; its outcome stays unknown.
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
from pomeloarch_node.platform_proxy import PlatformProxy
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

# Number of consecutive failures of this node's own calls after which peers make
# its calls.
_RELAY_AFTER_FAILURES = 2
# Mean time between two attempts to reach the platform while cut off from it, in
# seconds.
_PROBE_INTERVAL_S = 1.0
# Time that a peer has to answer a relayed call, in seconds.
_ANSWER_TIMEOUT_S = 3.0
# Limit on the peers that are asked to make a call, one after another.
_MAX_PROXIES_TRIED = 2
# Number of bits of the random number at which the numbering of a process's
# calls starts.
_CALL_NUMBER_BITS = 48

T = TypeVar("T")


class PlatformRelay:
    """A `PlatformClient` that uses this node's own client or its peers.

    Args:
      direct: this node's own client.
      peers: exchanges messages with other nodes.
      node: this node.
      zone: its availability zone; peers of other zones are asked first.
      clock: monotonic time, in seconds.
      metrics: counts the calls that were relayed or made for peers.
      rng: chooses among peers and randomises the probes.
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
        """Creates a relay that assumes the platform to be reachable."""
        self._direct = direct
        self._peers = peers
        self._node = node
        self._zone = zone
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._failures = 0
        # The first number is random so that a late answer to a previous
        # process of this node does not match a call of this one.
        self._call_numbers = itertools.count(rng.getrandbits(_CALL_NUMBER_BITS))
        self._pending_answers: dict[int, asyncio.Future[RelayedAnswer]] = {}
        self._proxy_tasks: set[asyncio.Task[None]] = set()
        self._proxy = PlatformProxy(direct, clock, metrics)
        self._messages = peers.subscribe(TOPIC)

    @property
    def is_cut_off(self) -> bool:
        """Whether this node's own calls currently fail."""
        return self._failures >= _RELAY_AFTER_FAILURES

    async def run(self) -> None:
        """Handles messages and probes the platform until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._handle_messages())
            group.create_task(self._probe())

    async def transact(
        self, checks: Sequence[Check], writes: Sequence[Write]
    ) -> Result[tuple[int, ...], Conflict | PlatformError]:
        """Writes all rows if all checks hold; returns the new versions."""
        if not self.is_cut_off:
            answer = await self._direct.transact(checks, writes)
            self._record_answer(answer)
            if not _may_relay_write(answer):
                return answer
        call = TransactCall(
            next(self._call_numbers), tuple(checks), tuple(writes)
        )
        relayed = await self._relay(call)
        if isinstance(relayed, Err):
            return relayed
        message = relayed.ok_value
        if not isinstance(message, Transacted):
            return Err(_make_error(message))
        if message.conflicts is not None:
            return Err(Conflict(rows=message.conflicts))
        return Ok(message.versions)

    async def read(
        self, keys: Sequence[tuple[str, str]]
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads rows, absent ones with version 0, in the order of keys."""
        call = ReadCall(next(self._call_numbers), tuple(keys))
        return await self._read_or_relay(lambda: self._direct.read(keys), call)

    async def scan(
        self, table: str, prefix: str = "", after: str = "", limit: int = 1000
    ) -> Result[tuple[Row, ...], PlatformError]:
        """Reads up to `limit` rows above `after` in the order of keys."""
        call = ScanCall(next(self._call_numbers), table, prefix, after, limit)
        return await self._read_or_relay(
            lambda: self._direct.scan(table, prefix, after, limit), call
        )

    async def membership(self) -> Result[tuple[Host, ...], PlatformError]:
        """Reads the list of hosts.

        This call is not relayed: peers share the list by themselves.
        """
        return await self._direct.membership()

    async def _read_or_relay(
        self,
        direct: Callable[[], Awaitable[Result[tuple[Row, ...], PlatformError]]],
        call: RelayedCall,
    ) -> Result[tuple[Row, ...], PlatformError]:
        if not self.is_cut_off:
            answer = await direct()
            self._record_answer(answer)
            # A read can be repeated after any failure.
            if answer.is_ok() or not self.is_cut_off:
                return answer
        relayed = await self._relay(call)
        if isinstance(relayed, Err):
            return relayed
        message = relayed.ok_value
        if isinstance(message, RowsRead):
            return Ok(message.rows)
        return Err(_make_error(message))

    def _record_answer(
        self, answer: Result[T, Conflict | PlatformError]
    ) -> None:
        error = answer.err()
        reached = not isinstance(error, PlatformError) or error.reached
        self._failures = 0 if reached else self._failures + 1

    async def _relay(
        self, call: RelayedCall
    ) -> Result[RelayedAnswer, PlatformError]:
        """Asks peers one after another until one may have made the call."""
        for proxy in self._choose_proxies():
            answer = await self._request(proxy, call)
            if answer is not None:
                return answer
        return Err(
            PlatformError(
                PlatformFailure.NOT_DONE,
                "the platform can't be reached, nor a peer that reaches it",
            )
        )

    async def _request(
        self, proxy: NodeId, call: RelayedCall
    ) -> Result[RelayedAnswer, PlatformError] | None:
        """Asks one peer to make a call.

        Returns:
          The answer, or an error if a write may have taken effect; None if
          another peer may be asked.
        """
        future = asyncio.get_running_loop().create_future()
        self._pending_answers[call.number] = future
        try:
            if not await self._send(proxy, call):
                return None
            self._metrics.count("platform_calls_relayed")
            async with asyncio.timeout(_ANSWER_TIMEOUT_S):
                answer = await future
        except TimeoutError:
            if not isinstance(call, TransactCall):
                return None
            return Err(
                PlatformError(
                    PlatformFailure.UNKNOWN, f"{proxy} gave no answer"
                )
            )
        finally:
            del self._pending_answers[call.number]
        if _never_reached_platform(answer):
            return None
        return Ok(answer)

    def _choose_proxies(self) -> list[NodeId]:
        zones = self._peers.live_nodes()
        nodes = [node for node in zones if node != self._node]
        self._rng.shuffle(nodes)
        nodes.sort(key=lambda node: zones[node] == self._zone)
        return nodes[:_MAX_PROXIES_TRIED]

    async def _handle_messages(self) -> None:
        while True:
            message = await self._messages.get()
            decoded = decode_message(message.payload)
            if isinstance(decoded, Err):
                self._metrics.count("platform_relay_garbage")
                continue
            self._handle(message, decoded.ok_value)

    def _handle(
        self, message: PeerMessage, content: RelayedCall | RelayedAnswer
    ) -> None:
        if isinstance(content, TransactCall | ReadCall | ScanCall):
            task = asyncio.create_task(
                self._make_call_for(message.sender, content)
            )
            self._proxy_tasks.add(task)
            task.add_done_callback(self._proxy_tasks.discard)
            return
        future = self._pending_answers.get(content.number)
        if future is not None and not future.done():
            future.set_result(content)

    async def _make_call_for(self, peer: NodeId, call: RelayedCall) -> None:
        answer = await self._proxy.make_call(
            call, is_platform_reachable=not self.is_cut_off
        )
        await self._send(peer, answer)

    async def _send(
        self, peer: NodeId, message: RelayedCall | RelayedAnswer
    ) -> bool:
        payload = encode_message(message)
        return await self._peers.send(peer, TOPIC, payload, data=True)

    async def _probe(self) -> None:
        """Detects when the platform becomes reachable again."""
        while True:
            await asyncio.sleep(
                _PROBE_INTERVAL_S * self._rng.uniform(0.75, 1.25)
            )
            if self.is_cut_off:
                self._record_answer(
                    await self._direct.read([("config", "head")])
                )


def _never_reached_platform(answer: RelayedAnswer) -> bool:
    """Returns whether a peer's call certainly never reached the platform."""
    return (
        isinstance(answer, Failed)
        and answer.failure is PlatformFailure.NOT_DONE
        and not answer.reached
    )


def _may_relay_write(
    answer: Result[tuple[int, ...], Conflict | PlatformError],
) -> bool:
    """Returns whether a write certainly never reached the platform."""
    error = answer.err()
    return (
        isinstance(error, PlatformError)
        and error.failure is PlatformFailure.NOT_DONE
        and not error.reached
    )


def _make_error(message: RelayedAnswer) -> PlatformError:
    if isinstance(message, Failed):
        return message.to_error()
    return PlatformError(PlatformFailure.UNKNOWN, "a peer answered wrongly")
