"""Small summaries by which nodes share what they have in progress."""

from __future__ import annotations

import binascii
from collections.abc import Iterable, Mapping

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import ExecutorId, ServiceName

LOAD_TOPIC = "load"
DRAINING_TOPIC = "draining"


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """One service in a node's digest.

    Attributes:
      demand: requests in progress and waiting at the node.
      in_progress: by the short hash of an executor's name, only above zero.
    """

    demand: int
    in_progress: dict[int, int]


LoadDigest = dict[ServiceName, ServiceLoad]
_LOADS = msgspec.msgpack.Decoder(LoadDigest)
_NAMES = msgspec.msgpack.Decoder(tuple[ExecutorId, ...])


def short_hash(executor_id: ExecutorId) -> int:
    """Returns two bytes that stand for an executor within its service."""
    return binascii.crc_hqx(executor_id.encode(), 0)


def encode_load(digest: LoadDigest) -> bytes:
    """Returns the bytes of a node's load."""
    return msgspec.msgpack.encode(digest)


def decode_load(payload: bytes) -> Result[LoadDigest, str]:
    """Returns a node's load, or why its bytes can't be read."""
    try:
        return Ok(_LOADS.decode(payload))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))


def encode_names(names: Iterable[ExecutorId]) -> bytes:
    """Returns the bytes of a list of executors."""
    return msgspec.msgpack.encode(tuple(names))


def decode_names(payload: bytes) -> Result[tuple[ExecutorId, ...], str]:
    """Returns a list of executors, or why its bytes can't be read."""
    try:
        return Ok(_NAMES.decode(payload))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))


def in_progress_elsewhere(
    loads: Iterable[ServiceLoad], executors: Iterable[ExecutorId]
) -> Mapping[ExecutorId, int]:
    """Adds up what other nodes have in progress at each executor."""
    listed = list(loads)
    return {
        executor_id: sum(
            load.in_progress.get(short_hash(executor_id), 0) for load in listed
        )
        for executor_id in executors
    }
