"""Keeps the highest generation in force: from the platform and from peers."""

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
_POLL_S = 1.0
# Polls of the whole fleet are bounded: each node polls less as it grows.
_FLEET_POLLS_PER_S = 20.0
_MAX_BACKOFF = 8
_MAX_REPLAYED = 200
_CHUNK_RETRY_S = 0.5
_CHUNK_RETRIES = 120
_TRANSFERS_AT_ONCE = 2


class GenerationSpreader:
    """A task that spreads generations; see `GenerationExchange`.

    Args:
      holder: the generation in force at this node.
      source: the platform's generations.
      peers: the other nodes.
      node_id: this node.
      availability_zone: its zone.
      clock: monotonic time, in seconds.
      metrics: counts reads and tells the generation.
      rng: for the choice of nodes and jitter.
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
        """Starts with what the holder has."""
        self._holder = holder
        self._source = source
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._exchange = GenerationExchange(node_id, availability_zone, rng)
        self._installed = holder.subscribe()
        self._messages = peers.subscribe(TOPIC)
        self._sends: set[asyncio.Task[None]] = set()
        self._transfers: dict[NodeId, asyncio.Task[None]] = {}

    async def run(self) -> None:
        """Spreads generations until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_platform())
            group.create_task(self._follow_holder())
            group.create_task(self._follow_peers())
            group.create_task(self._repair())

    # ---- the four loops

    async def _poll_platform(self) -> None:
        failures = 0
        while True:
            reached = await self._read_platform()
            failures = 0 if reached else min(failures + 1, _MAX_BACKOFF)
            nodes = len(self._peers.live_nodes())
            wait_s = max(_POLL_S, nodes / _FLEET_POLLS_PER_S)
            wait_s *= max(1, failures) * self._rng.uniform(0.75, 1.25)
            await asyncio.sleep(wait_s)

    async def _follow_holder(self) -> None:
        """Passes on what this node published itself."""
        while True:
            snapshot = await self._installed.get()
            self._carry_out(self._exchange.offer(snapshot))

    async def _follow_peers(self) -> None:
        while True:
            message = await self._messages.get()
            self._take(message)

    async def _repair(self) -> None:
        while True:
            await asyncio.sleep(TICK_S * self._rng.uniform(0.8, 1.2))
            for digest in self._peers.digests(TOPIC).values():
                self._take(digest)
            self._exchange.update_live_nodes(self._peers.live_nodes())
            self._carry_out(self._exchange.tick(self._clock()))

    # ---- the platform

    async def _read_platform(self) -> bool:
        """Reads the platform's highest; returns whether it answered."""
        head = await self._source.load_head()
        if isinstance(head, Err):
            return False
        behind = head.ok_value - self._exchange.snapshot.generation
        if behind < 0:
            self._metrics.count("generation_platform_lower")
        if behind <= 0:
            return True
        if self._exchange.snapshot.generation and behind <= _MAX_REPLAYED:
            return await self._read_deltas()
        return await self._read_snapshot()

    async def _read_deltas(self) -> bool:
        base = self._exchange.snapshot
        steps = await self._source.load_deltas(base.generation)
        if isinstance(steps, Err):
            return False
        snapshot = base
        used: list[Delta] = []
        for step in steps.ok_value:
            found = apply_delta(snapshot, step)
            if isinstance(found, Err):
                break
            snapshot = found.ok_value
            used.append(step)
        self._offer(snapshot, used)
        return True

    async def _read_snapshot(self) -> bool:
        found = await self._source.load_snapshot()
        if isinstance(found, Err):
            return False
        self._offer(found.ok_value, ())
        return True

    def _offer(self, snapshot: Snapshot, steps: Sequence[Delta]) -> None:
        self._exchange.update_live_nodes(self._peers.live_nodes())
        self._carry_out(self._exchange.offer(snapshot, steps))

    # ---- peers

    def _take(self, message: PeerMessage) -> None:
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
        self._carry_out(
            self._exchange.receive(
                message.sender, decoded.ok_value, self._clock()
            )
        )

    def _carry_out(self, effects: Sequence[ExchangeEffect]) -> None:
        for effect in effects:
            self._do(effect)

    @functools.singledispatchmethod
    def _do(self, effect: ExchangeEffect) -> None:
        raise TypeError(f"no such effect: {type(effect).__name__}")

    @_do.register
    def _(self, effect: Install) -> None:
        generation = effect.snapshot.generation
        self._holder.offer(effect.snapshot)
        self._peers.set_digest(TOPIC, encode_message(Have(generation)))
        self._metrics.set("generation", generation)
        logging.info("generation %d is in force", generation)

    @_do.register
    def _(self, effect: SendTo) -> None:
        task = asyncio.create_task(self._send(effect))
        self._sends.add(task)
        task.add_done_callback(self._sends.discard)

    @_do.register
    def _(self, effect: Transfer) -> None:
        node = effect.node
        busy = len(self._transfers) >= _TRANSFERS_AT_ONCE
        if busy or node in self._transfers:
            return
        task = asyncio.create_task(self._transfer(effect))
        self._transfers[node] = task
        task.add_done_callback(lambda _: self._transfers.pop(node, None))

    async def _send(self, effect: SendTo) -> None:
        payload = encode_message(effect.message)
        await self._peers.send(effect.node, TOPIC, payload)

    async def _transfer(self, effect: Transfer) -> None:
        """Sends a snapshot's parts as fast as the peers' budget allows."""
        for chunk in effect.chunks:
            payload = encode_message(chunk)
            for _ in range(_CHUNK_RETRIES):
                if await self._peers.send(effect.node, TOPIC, payload):
                    break
                await asyncio.sleep(_CHUNK_RETRY_S)
            else:
                return
