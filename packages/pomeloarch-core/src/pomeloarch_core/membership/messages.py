"""What nodes tell each other, as typed data; the node encodes it."""

from __future__ import annotations

import enum

import msgspec

from pomeloarch_core.ids import NodeId, ZoneName

# A digest or message of a topic above this size is not taken.
MAX_DIGEST_BYTES = 1_024
MAX_MESSAGE_BYTES = 16_384


class NodeState(enum.IntEnum):
    """What is believed of a node; at one incarnation the higher wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3


class Rumour(msgspec.Struct, frozen=True):
    """What one node says of another's life.

    Attributes:
      node: whom it is about.
      availability_zone: where that node is.
      address: its peer address, `ip:port`.
      state: what is believed of it.
      incarnation: which life of the node; only the node itself raises it.
    """

    node: NodeId
    availability_zone: ZoneName
    address: str
    state: NodeState
    incarnation: int


class Entry(msgspec.Struct, frozen=True):
    """The digest of one topic of one node.

    Attributes:
      node: whose digest it is.
      incarnation: the life of the node that set it.
      version: grows with each digest that the node sets in that life.
      after: the version below this one that its receiver has to know, so
        that none is skipped.
      topic: which part of the node it is for.
      payload: its bytes.
    """

    node: NodeId
    incarnation: int
    version: int
    after: int
    topic: str
    payload: bytes


class Mark(msgspec.Struct, frozen=True):
    """Up to which version a node's digests are known to the sender."""

    node: NodeId
    incarnation: int
    version: int


class Probe(msgspec.Struct, frozen=True):
    """Asks a node whether it lives, and says which digests are known.

    An empty target asks whichever node listens at the address.
    """

    sequence: int
    target: NodeId
    marks: tuple[Mark, ...] = ()


class Ack(msgspec.Struct, frozen=True):
    """Answers a probe, with digests that the asker lacks.

    Attributes:
      sequence: the probe's sequence number.
      target: the node that answered, also when another one relays it.
      entries: digests that the asker did not have.
      wanted: what the asker knows better, up to where it is known here.
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
    """Digests that the receiver asked for."""

    entries: tuple[Entry, ...]


class TopicMessage(msgspec.Struct, frozen=True):
    """One message of a topic, to one node."""

    topic: str
    payload: bytes


class RumoursOnly(msgspec.Struct, frozen=True):
    """Nothing beside the rumours of the frame."""


Body = Probe | Ack | ProbeRequest | Entries | TopicMessage | RumoursOnly


class Frame(msgspec.Struct, frozen=True):
    """One message between nodes.

    Attributes:
      sender: who sent it.
      availability_zone: where the sender is.
      address: the sender's peer address, `ip:port`.
      incarnation: the sender's present incarnation.
      body: what it is about.
      rumours: what the sender passes on of nodes' lives.
    """

    sender: NodeId
    availability_zone: ZoneName
    address: str
    incarnation: int
    body: Body
    rumours: tuple[Rumour, ...] = ()


# ---- what the protocol decides


class SendFrame(msgspec.Struct, frozen=True):
    """Send a frame to an address.

    Attributes:
      address: where to.
      node: who is there, empty where that is not known.
      frame: what to send.
      charged_bytes: what the byte budget was charged; the sender tells the
        protocol what it really took.
      data: whether it is sent for callers, beside the budget of control.
    """

    address: str
    node: NodeId
    frame: Frame
    charged_bytes: int
    data: bool = False


class ResetLink(msgspec.Struct, frozen=True):
    """Close the connection to an address; it may have gone silent."""

    address: str


class Deliver(msgspec.Struct, frozen=True):
    """Give a topic's digest or message to the part that it is for."""

    sender: NodeId
    availability_zone: ZoneName
    topic: str
    payload: bytes


class NodeChanged(msgspec.Struct, frozen=True):
    """What is believed of a node has changed, for logs and metrics."""

    rumour: Rumour


Effect = SendFrame | ResetLink | Deliver | NodeChanged
