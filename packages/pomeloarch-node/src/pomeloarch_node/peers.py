"""What the other parts of a node ask of the plane between nodes."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from pomeloarch_core.ids import NodeId, ZoneName


class PeerMessage(msgspec.Struct, frozen=True):
    """A message or digest from another node.

    Attributes:
      sender: who sent it.
      availability_zone: where the sender is.
      topic: which part of the node it is for.
      payload: its bytes, in an encoding of that part's own.
    """

    sender: NodeId
    availability_zone: ZoneName
    topic: str
    payload: bytes


class PeerMessenger(Protocol):
    """Messages between nodes, bounded in size and rate."""

    def set_digest(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic; the latest one spreads."""

    def digests(self, topic: str) -> dict[NodeId, PeerMessage]:
        """Returns the latest digests of the other live nodes."""

    def live_nodes(self) -> dict[NodeId, ZoneName]:
        """Returns the nodes believed to live, this one included."""

    async def send(
        self, node: NodeId, topic: str, payload: bytes, *, data: bool = False
    ) -> bool:
        """Sends one message; returns whether it was handed to a socket.

        Args:
          node: whom it is for.
          topic: which part of the node it is for.
          payload: its bytes.
          data: whether it is sent for callers, beside the budget of control.
        """

    def subscribe(self, topic: str) -> asyncio.Queue[PeerMessage]:
        """Returns a queue of the messages and digests of a topic."""
