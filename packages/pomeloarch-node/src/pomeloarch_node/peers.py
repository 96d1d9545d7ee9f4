"""The interface by which the parts of a node exchange messages with peers."""

from __future__ import annotations

import asyncio
from typing import Protocol

import msgspec

from pomeloarch_core.ids import NodeId, ZoneName


class PeerMessage(msgspec.Struct, frozen=True):
    """A message or digest from another node.

    Attributes:
      sender: the node that sent it.
      availability_zone: the zone of the sender.
      topic: the part of the node that it is for.
      payload: its bytes, in an encoding that this part defines.
    """

    sender: NodeId
    availability_zone: ZoneName
    topic: str
    payload: bytes


class PeerMessenger(Protocol):
    """Sends messages and digests to other nodes, limited in size and rate.

    A message goes to one node. A digest is distributed to other nodes; of
    each node and topic only the latest one is kept.
    """

    def set_digest(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic, which other nodes receive."""

    def digests(self, topic: str) -> dict[NodeId, PeerMessage]:
        """Returns the latest digest of each other live node."""

    def live_nodes(self) -> dict[NodeId, ZoneName]:
        """Returns the nodes assumed to be alive and their zones.

        This node is included. Of other zones only a few nodes are known.
        """

    async def send(
        self, node: NodeId, topic: str, payload: bytes, *, data: bool = False
    ) -> bool:
        """Sends a message to one node.

        Args:
          node: the receiver.
          topic: the part of the receiver that it is for.
          payload: its bytes.
          data: whether the message is traffic for callers, which has a budget
            apart from that of control traffic.

        Returns:
          Whether it was written to a connection; delivery is not confirmed.
        """

    def subscribe(self, topic: str) -> asyncio.Queue[PeerMessage]:
        """Returns a new queue of a topic's messages and digests."""
