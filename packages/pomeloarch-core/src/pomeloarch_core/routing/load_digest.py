"""Digests by which nodes share their load and known leaving executors."""

from __future__ import annotations

import binascii
from collections.abc import Iterable, Mapping

import msgspec
from result import Err, Ok, Result

from pomeloarch_core.ids import ExecutorId, ServiceName

LOAD_TOPIC = "load"
DRAINING_TOPIC = "draining"


class ServiceLoad(msgspec.Struct, frozen=True, array_like=True):
    """The load of one service in a node's digest.

    Attributes:
      demand: requests in progress and waiting at the node.
      in_progress: positive counts of requests in progress by `short_hash` of
        the executor.
    """

    demand: int
    in_progress: dict[int, int]


LoadDigest = dict[ServiceName, ServiceLoad]
_LOAD_DECODER = msgspec.msgpack.Decoder(LoadDigest)
_NAMES_DECODER = msgspec.msgpack.Decoder(tuple[ExecutorId, ...])


def short_hash(executor_id: ExecutorId) -> int:
    """Returns a 16-bit hash that identifies an executor in its service."""
    return binascii.crc_hqx(executor_id.encode(), 0)


def encode_load(digest: LoadDigest) -> bytes:
    """Returns the encoded load of a node."""
    return msgspec.msgpack.encode(digest)


def decode_load(payload: bytes) -> Result[LoadDigest, str]:
    """Returns a node's load, or why the bytes can't be decoded."""
    try:
        return Ok(_LOAD_DECODER.decode(payload))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))


def encode_names(names: Iterable[ExecutorId]) -> bytes:
    """Returns an encoded list of executors."""
    return msgspec.msgpack.encode(tuple(names))


def decode_names(payload: bytes) -> Result[tuple[ExecutorId, ...], str]:
    """Returns a list of executors, or why the bytes can't be decoded."""
    try:
        return Ok(_NAMES_DECODER.decode(payload))
    except msgspec.MsgspecError as exc:
        return Err(str(exc))


def sum_in_progress(
    loads: Iterable[ServiceLoad], executors: Iterable[ExecutorId]
) -> Mapping[ExecutorId, int]:
    """Returns the total requests in progress at each executor.

    Args:
      loads: loads of the other nodes.
      executors: the executors to count for.
    """
    listed = list(loads)
    return {
        executor_id: sum(
            load.in_progress.get(short_hash(executor_id), 0) for load in listed
        )
        for executor_id in executors
    }
