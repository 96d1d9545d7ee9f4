"""Messages between nodes and effects of the protocol, as typed data.

The node encodes the messages.
"""

from __future__ import annotations

import enum

import msgspec

from pomeloarch_core.ids import NodeId, ZoneName

# Larger digests and messages of a topic are rejected.
MAX_DIGEST_BYTES = 1_024
MAX_MESSAGE_BYTES = 16_384


class NodeState(enum.IntEnum):
    """The assumed state of a node; at one incarnation the higher one wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumour(msgspec.Struct, frozen=True):
    """What one node reports about the state of another.

    Attributes:
      node: the node that the rumour is about.
      availability_zone: the zone of that node.
      address: its peer address, `ip:port`.
      state: its assumed state.
      incarnation: its incarnation number, which only the node itself raises.
    """

    node: NodeId
    availability_zone: ZoneName
    address: str
    state: NodeState
    incarnation: int


class Entry(msgspec.Struct, frozen=True):
    """The digest of one topic of one node.

    Attributes:
      node: the node that the digest belongs to.
      incarnation: the incarnation of the node that set it.
      version: increases with each digest that the node sets within an
        incarnation.
      after: the previous version, which the receiver must know so that no
        digest is skipped.
      topic: the part of the node that handles the digest.
      payload: the bytes of the digest.
    """

    node: NodeId
    incarnation: int
    version: int
    after: int
    topic: str
    payload: bytes


class Mark(msgspec.Struct, frozen=True):
    """Up to which version the sender knows the digests of a node."""

    node: NodeId
    incarnation: int
    version: int


class Probe(msgspec.Struct, frozen=True):
    """Asks whether a node is alive and tells which digests are known.

    An empty target addresses any node that listens at the address.
    """

    sequence: int
    target: NodeId
    marks: tuple[Mark, ...] = ()


class Ack(msgspec.Struct, frozen=True):
    """Answers a probe, with digests that the prober lacks.

    Attributes:
      sequence: the sequence number of the probe.
      target: the node that answered, even if another node relays the answer.
      entries: digests that the prober lacks.
      wanted: marks of the digests for which the prober has newer versions, as
        known to the sender.
    """

    sequence: int
    target: NodeId
    entries: tuple[Entry, ...] = ()
    wanted: tuple[Mark, ...] = ()


class ProbeRequest(msgspec.Struct, frozen=True):
    """Asks a third node to probe a target and to relay its answer."""

    sequence: int
    target: NodeId


class Entries(msgspec.Struct, frozen=True):
    """Digests that the receiver requested."""

    entries: tuple[Entry, ...]


class TopicMessage(msgspec.Struct, frozen=True):
    """One message of a topic, to one node."""

    topic: str
    payload: bytes


class RumoursOnly(msgspec.Struct, frozen=True):
    """An empty body: the frame carries only rumours."""


Body = Probe | Ack | ProbeRequest | Entries | TopicMessage | RumoursOnly


class Frame(msgspec.Struct, frozen=True):
    """One message between nodes.

    Attributes:
      sender: the node that sent the frame.
      availability_zone: the zone of the sender.
      address: the peer address of the sender, `ip:port`.
      incarnation: the current incarnation of the sender.
      body: the content of the message.
      rumours: rumours that the sender passes on.
    """

    sender: NodeId
    availability_zone: ZoneName
    address: str
    incarnation: int
    body: Body
    rumours: tuple[Rumour, ...] = ()


class SendFrame(msgspec.Struct, frozen=True):
    """Effect: send a frame to an address.

    Attributes:
      address: the address to send to.
      node: the node at the address, empty if it is not known.
      frame: the frame to send.
      charged_bytes: the bytes charged to the budget; the caller reports the
        encoded size to the protocol afterwards.
      data: whether the frame is traffic for callers, which has a budget apart
        from that of control traffic.
    """

    address: str
    node: NodeId
    frame: Frame
    charged_bytes: int
    data: bool = False


class ResetLink(msgspec.Struct, frozen=True):
    """Effect: close the connection to an address, which may be broken."""

    address: str


class Deliver(msgspec.Struct, frozen=True):
    """Effect: pass a digest or message to the node's part for its topic."""

    sender: NodeId
    availability_zone: ZoneName
    topic: str
    payload: bytes


class NodeChanged(msgspec.Struct, frozen=True):
    """Effect: log and count a change in the assumed state of a node."""

    rumour: Rumour


Effect = SendFrame | ResetLink | Deliver | NodeChanged
