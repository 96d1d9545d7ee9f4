"""Keeps the list of hosts up to date, from the platform or else from peers."""

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
# Minimum mean time between two polls of the platform by a node, in seconds.
_MIN_POLL_INTERVAL_S = 2.0
# Limit on the polls of all nodes together per second; with more nodes, each one
# polls less often.
_MAX_FLEET_POLLS_PER_S = 10.0
# Age in seconds above which the list is requested from a peer if the platform
# does not answer.
_STALE_AFTER_S = 6.0
# Limits on the size of a list sent to a peer, compressed and decompressed.
_MAX_PAYLOAD_BYTES = 16_000
_MAX_UNPACKED_BYTES = 4_000_000


class JoiningPeerMessenger(PeerMessenger, Protocol):
    """A `PeerMessenger` that joins other nodes through listed addresses."""

    def set_listed(self, addresses: Iterable[str]) -> None:
        """Replaces the peer addresses that come from the platform's list."""


class _Listing(msgspec.Struct, frozen=True):
    """A list of hosts that one node sends to another.

    Attributes:
      age_s: the age of the list when it was sent, in seconds.
      hosts: the list.
    """

    age_s: float
    hosts: tuple[Host, ...]


class HostDirectoryTask:
    """Polls the platform's list and shares it with nodes that lack it.

    Args:
      directory: receives each newer list.
      platform: returns the list.
      peers: asked for the list if the platform does not return it.
      clock: monotonic time, in seconds.
      metrics: shows the number of hosts in the list.
      rng: chooses a peer and randomises intervals.
    """

    def __init__(
        self,
        directory: HostDirectory,
        platform: PlatformClient,
        peers: JoiningPeerMessenger,
        clock: Callable[[], float],
        metrics: Metrics,
        rng: random.Random,
    ) -> None:
        """Creates a task without a list."""
        self._directory = directory
        self._platform = platform
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._hosts: tuple[Host, ...] = ()
        self._list_time: float | None = None
        self._messages = peers.subscribe(TOPIC)

    async def run(self) -> None:
        """Keeps the list up to date until it is cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._poll_platform())
            group.create_task(self._handle_messages())

    def age_s(self) -> float:
        """Returns the age of the list in seconds, infinity if there is none."""
        if self._list_time is None:
            return float("inf")
        return self._clock() - self._list_time

    async def _poll_platform(self) -> None:
        while True:
            answer = await self._platform.membership()
            if not isinstance(answer, Err):
                self._accept_list(answer.ok_value, 0.0)
            elif self.age_s() > _STALE_AFTER_S:
                await self._request_from_peer()
            nodes = len(self._peers.live_nodes())
            wait_s = max(_MIN_POLL_INTERVAL_S, nodes / _MAX_FLEET_POLLS_PER_S)
            await asyncio.sleep(wait_s * self._rng.uniform(0.75, 1.25))

    def _accept_list(self, hosts: tuple[Host, ...], age_s: float) -> None:
        if age_s >= self.age_s():
            return
        self._hosts = hosts
        self._list_time = self._clock() - age_s
        self._directory.replace(hosts)
        self._peers.set_listed(_peer_addresses(hosts))
        self._metrics.set("hosts_known", len(hosts))

    async def _request_from_peer(self) -> None:
        others = sorted(self._peers.live_nodes())
        if others:
            await self._peers.send(self._rng.choice(others), TOPIC, b"")

    async def _handle_messages(self) -> None:
        while True:
            message = await self._messages.get()
            if not message.payload:
                await self._send_list(message)
                continue
            listing = _decode_listing(message.payload)
            if listing is None:
                logging.warning("bad host list from %s", message.sender)
            else:
                self._accept_list(listing.hosts, max(0.0, listing.age_s))

    async def _send_list(self, message: PeerMessage) -> None:
        """Sends the list to a node that requested it."""
        if self._list_time is None:
            return
        payload = _encode_listing(_Listing(self.age_s(), self._hosts))
        if len(payload) > _MAX_PAYLOAD_BYTES:
            # The list is too large for one message. It is reduced to the nodes
            # of all zones and the hosts in the zone of the receiver, which
            # needs these most.
            zone = message.availability_zone
            selected = tuple(
                host
                for host in self._hosts
                if zone == host.availability_zone or host.kind is HostKind.NODE
            )
            payload = _encode_listing(_Listing(self.age_s(), selected))
        await self._peers.send(message.sender, TOPIC, payload)


def _peer_addresses(hosts: tuple[Host, ...]) -> list[str]:
    addresses = [
        host.attributes.get("peer_address")
        for host in hosts
        if host.kind is HostKind.NODE
    ]
    return [address for address in addresses if isinstance(address, str)]


def _encode_listing(listing: _Listing) -> bytes:
    return zlib.compress(msgspec.json.encode(listing))


def _decode_listing(payload: bytes) -> _Listing | None:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(payload, _MAX_UNPACKED_BYTES)
        return msgspec.json.decode(text, type=_Listing)
    except (zlib.error, msgspec.MsgspecError):
        return None
