"""Keeps the list of hosts fresh: from the platform, else from peers."""

from __future__ import annotations

import asyncio
import random
import zlib
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec
from absl import logging
from result import Err

from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.peers import PeerMessage, PeerMessenger
from pomeloarch_node.platform import Host, HostKind, PlatformClient

TOPIC = "hosts"
_POLL_S = 2.0
# Polls of the whole fleet are bounded: each node polls less as it grows.
_FLEET_POLLS_PER_S = 10.0
_STALE_S = 6.0
_MAX_PAYLOAD_BYTES = 16_000
_MAX_UNPACKED_BYTES = 4_000_000


class ListedPeers(PeerMessenger, Protocol):
    """A plane between nodes that takes addresses from the list."""

    def set_listed(self, addresses: Iterable[str]) -> None:
        """Takes peer addresses from the platform's list."""


class _Listing(msgspec.Struct, frozen=True):
    """A list of hosts on its way between nodes.

    Attributes:
      age_s: how old it was when it was sent, in seconds.
      hosts: the list.
    """

    age_s: float
    hosts: tuple[Host, ...]


class HostDirectoryTask:
    """Polls the platform's list and shares it when that can't be reached.

    Args:
      directory: takes each newer list.
      platform: gives the list.
      peers: asked when the platform gives none.
      clock: monotonic time, in seconds.
      metrics: counts reads and tells the list's age.
      rng: for jitter.
    """

    def __init__(
        self,
        directory: HostDirectory,
        platform: PlatformClient,
        peers: ListedPeers,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Starts with no list."""
        self._directory = directory
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._hosts: tuple[Host, ...] = ()
        self._taken_at: float | None = None
        self._queue = peers.subscribe(TOPIC)

    async def run(self) -> None:
        """Keeps the list fresh until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll())
            group.create_task(self._answer_peers())

    def age_s(self) -> float:
        """Returns how old the list is, in seconds."""
        if self._taken_at is None:
            return float("inf")
        return self._clock() - self._taken_at

    async def _poll(self) -> None:
        while True:
            answer = await self._platform.membership()
            if not isinstance(answer, Err):
                self._take(answer.ok_value, 0.0)
            elif self.age_s() > _STALE_S:
                await self._ask_peer()
            nodes = len(self._peers.live_nodes())
            wait_s = max(_POLL_S, nodes / _FLEET_POLLS_PER_S)
            await asyncio.sleep(wait_s * self._rng.uniform(0.75, 1.25))

    def _take(self, hosts: tuple[Host, ...], age_s: float) -> None:
        if age_s >= self.age_s():
            return
        self._hosts = hosts
        self._taken_at = self._clock() - age_s
        self._directory.replace(hosts)
        self._peers.set_listed(_peer_addresses(hosts))
        self._metrics.set("hosts_known", len(hosts))

    async def _ask_peer(self) -> None:
        others = sorted(self._peers.live_nodes())
        if others:
            await self._peers.send(self._rng.choice(others), TOPIC, b"")

    async def _answer_peers(self) -> None:
        while True:
            message = await self._queue.get()
            if not message.payload:
                await self._share(message)
                continue
            listing = _decode(message.payload)
            if listing is None:
                logging.warning("bad host list from %s", message.sender)
            else:
                self._take(listing.hosts, max(0.0, listing.age_s))

    async def _share(self, message: PeerMessage) -> None:
        """Sends the list to a node that can't reach the platform."""
        if self._taken_at is None:
            return
        payload = _encode(_Listing(self.age_s(), self._hosts))
        if len(payload) > _MAX_PAYLOAD_BYTES:
            # Too many for one message: those of the asker's zone count most.
            zone = message.availability_zone
            near = tuple(
                host
                for host in self._hosts
                if zone == host.availability_zone or host.kind is HostKind.NODE
            )
            payload = _encode(_Listing(self.age_s(), near))
        await self._peers.send(message.sender, TOPIC, payload)


def _peer_addresses(hosts: tuple[Host, ...]) -> list[str]:
    addresses = [
        host.attributes.get("peer_address")
        for host in hosts
        if host.kind is HostKind.NODE
    ]
    return [address for address in addresses if isinstance(address, str)]


def _encode(listing: _Listing) -> bytes:
    return zlib.compress(msgspec.json.encode(listing))


def _decode(payload: bytes) -> _Listing | None:
    inflate = zlib.decompressobj()
    try:
        text = inflate.decompress(payload, _MAX_UNPACKED_BYTES)
        return msgspec.json.decode(text, type=_Listing)
    except (zlib.error, msgspec.MsgspecError):
        return None
