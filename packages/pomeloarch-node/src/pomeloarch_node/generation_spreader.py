"""Keeps the highest generation in force, as read from platform and peers."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Callable, Sequence

from absl import logging
from result import Err

from pomeloarch_core.ids import NodeId, ZoneName
from pomeloarch_core.membership.generation_exchange import (
    TICK_S,
    ExchangeEffect,
    GenerationExchange,
    Install,
    SendTo,
    Transfer,
)
from pomeloarch_core.membership.generation_messages import (
    Have,
    decode_message,
    encode_message,
)
from pomeloarch_core.objects.delta import Delta, apply_delta
from pomeloarch_core.objects.model import Snapshot
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.generation_source import SnapshotSource
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessage, PeerMessenger

TOPIC = "generation"
# Minimum mean time between two polls of the platform by a node, in seconds.
_MIN_POLL_INTERVAL_S = 1.0
# Limit on the polls of all nodes together per second; with more nodes, each one
# polls less often.
_MAX_FLEET_POLLS_PER_S = 20.0
# Limit on the factor by which consecutive failures lengthen the poll interval.
_MAX_BACKOFF_FACTOR = 8
# Largest number of missing generations for which deltas are read instead of the
# whole snapshot.
_MAX_REPLAYED_GENERATIONS = 200
# Time after which a chunk that could not be sent is sent again, in seconds, and
# the number of attempts before the transfer is given up.
_CHUNK_RETRY_INTERVAL_S = 0.5
_MAX_CHUNK_ATTEMPTS = 120
# Limit on the snapshots that a node sends at a time; others are not started.
_MAX_CONCURRENT_TRANSFERS = 2


class GenerationSpreader:
    """Reads generations and spreads them to peers.

    The exchange with peers follows `GenerationExchange`.

    Args:
      holder: holds the generation in force at this node.
      source: reads the platform's generations.
      peers: exchanges messages and digests with other nodes.
      node_id: this node.
      availability_zone: its zone.
      clock: monotonic time, in seconds.
      metrics: shows the generation in force, and counts bad messages and reads
        of a lower generation.
      rng: chooses nodes and randomises intervals.
    """

    def __init__(
        self,
        holder: ConfigurationHolder,
        source: SnapshotSource,
        peers: PeerMessenger,
        node_id: NodeId,
        availability_zone: ZoneName,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Creates a spreader that subscribes to the holder and to peers."""
        self._holder = holder
        self._source = source
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._exchange = GenerationExchange(node_id, availability_zone, rng)
        self._installed = holder.subscribe()
        self._messages = peers.subscribe(TOPIC)
        self._send_tasks: set[asyncio.Task[None]] = set()
        self._transfer_tasks: dict[NodeId, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Spreads generations until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_platform())
            group.create_task(self._offer_installed())
            group.create_task(self._handle_messages())
            group.create_task(self._repair_lost_messages())

    async def _poll_platform(self) -> None:
        failures = 0
        while True:
            has_answered = await self._read_platform()
            failures = (
                0 if has_answered else min(failures + 1, _MAX_BACKOFF_FACTOR)
            )
            nodes = len(self._peers.live_nodes())
            wait_s = max(_MIN_POLL_INTERVAL_S, nodes / _MAX_FLEET_POLLS_PER_S)
            wait_s *= max(1, failures) * self._rng.uniform(0.75, 1.25)
            await asyncio.sleep(wait_s)

    async def _offer_installed(self) -> None:
        """Spreads the generations that this node publishes itself."""
        while True:
            snapshot = await self._installed.get()
            self._execute_effects(self._exchange.offer(snapshot))

    async def _handle_messages(self) -> None:
        while True:
            message = await self._messages.get()
            self._handle_message(message)

    async def _repair_lost_messages(self) -> None:
        while True:
            await asyncio.sleep(TICK_S * self._rng.uniform(0.8, 1.2))
            for digest in self._peers.digests(TOPIC).values():
                self._handle_message(digest)
            self._exchange.update_live_nodes(self._peers.live_nodes())
            self._execute_effects(self._exchange.tick(self._clock()))

    async def _read_platform(self) -> bool:
        """Reads missing generations; returns whether the platform answered."""
        head = await self._source.load_head()
        if isinstance(head, Err):
            return False
        behind = head.ok_value - self._exchange.snapshot.generation
        if behind < 0:
            self._metrics.count("generation_platform_lower")
        if behind <= 0:
            return True
        if (
            self._exchange.snapshot.generation
            and behind <= _MAX_REPLAYED_GENERATIONS
        ):
            return await self._read_deltas()
        return await self._read_snapshot()

    async def _read_deltas(self) -> bool:
        base = self._exchange.snapshot
        deltas = await self._source.load_deltas(base.generation)
        if isinstance(deltas, Err):
            return False
        snapshot = base
        applied: list[Delta] = []
        for delta in deltas.ok_value:
            found = apply_delta(snapshot, delta)
            if isinstance(found, Err):
                break
            snapshot = found.ok_value
            applied.append(delta)
        self._offer(snapshot, applied)
        return True

    async def _read_snapshot(self) -> bool:
        found = await self._source.load_snapshot()
        if isinstance(found, Err):
            return False
        self._offer(found.ok_value, ())
        return True

    def _offer(self, snapshot: Snapshot, deltas: Sequence[Delta]) -> None:
        self._exchange.update_live_nodes(self._peers.live_nodes())
        self._execute_effects(self._exchange.offer(snapshot, deltas))

    def _handle_message(self, message: PeerMessage) -> None:
        decoded = decode_message(message.payload)
        if isinstance(decoded, Err):
            self._metrics.count("generation_bad_messages")
            logging.warning(
                "bad generation message from %s: %s",
                message.sender,
                decoded.err_value,
            )
            return
        self._exchange.update_live_nodes(self._peers.live_nodes())
        self._execute_effects(
            self._exchange.receive(
                message.sender, decoded.ok_value, self._clock()
            )
        )

    def _execute_effects(self, effects: Sequence[ExchangeEffect]) -> None:
        for effect in effects:
            self._execute_effect(effect)

    @functools.singledispatchmethod
    def _execute_effect(self, effect: ExchangeEffect) -> None:
        raise TypeError(f"unknown effect type: {type(effect).__name__}")

    @_execute_effect.register
    def _(self, effect: Install) -> None:
        generation = effect.snapshot.generation
        self._holder.offer(effect.snapshot)
        self._peers.set_digest(TOPIC, encode_message(Have(generation)))
        self._metrics.set("generation", generation)
        logging.info("generation %d is in force", generation)

    @_execute_effect.register
    def _(self, effect: SendTo) -> None:
        task = asyncio.create_task(self._send(effect))
        self._send_tasks.add(task)
        task.add_done_callback(self._send_tasks.discard)

    @_execute_effect.register
    def _(self, effect: Transfer) -> None:
        node = effect.node
        busy = len(self._transfer_tasks) >= _MAX_CONCURRENT_TRANSFERS
        if busy or node in self._transfer_tasks:
            return
        task = asyncio.create_task(self._transfer(effect))
        self._transfer_tasks[node] = task
        task.add_done_callback(lambda _: self._transfer_tasks.pop(node, None))

    async def _send(self, effect: SendTo) -> None:
        payload = encode_message(effect.message)
        await self._peers.send(effect.node, TOPIC, payload)

    async def _transfer(self, effect: Transfer) -> None:
        """Sends the chunks of a snapshot as fast as the byte budget allows."""
        for chunk in effect.chunks:
            payload = encode_message(chunk)
            for _ in range(_MAX_CHUNK_ATTEMPTS):
                if await self._peers.send(effect.node, TOPIC, payload):
                    break
                await asyncio.sleep(_CHUNK_RETRY_INTERVAL_S)
            else:
                return
