"""Asks the node that schedules a zone why a job is where it is."""

from __future__ import annotations

import asyncio
import enum
from typing import Protocol

import msgspec

from pomeloarch_core.ids import JobId, NodeId, ZoneName
from pomeloarch_node.job_records import zone_of
from pomeloarch_node.peers import PeerMessage, PeerMessenger
from pomeloarch_node.scheduler_digest import (
    DIGEST_TOPIC,
    EXPLAIN_TOPIC,
    decode_digests,
)

ANSWER_TIMEOUT_S = 0.5


class Explainer(Protocol):
    """Whoever schedules a zone on this node."""

    def explain(self, job_id: JobId) -> list[str] | None:
        """Returns the reasons about a job, None when not the holder."""


class _Kind(enum.Enum):
    QUESTION = "question"
    ANSWER = "answer"


class _Message(msgspec.Struct, frozen=True, array_like=True):
    kind: _Kind
    job_id: JobId
    reasons: tuple[str, ...] = ()


class JobExplanations:
    """Answers why, from this node's scheduler or from another's.

    Args:
      peers: the plane between nodes.
      explainer: the scheduler of this node's zone.
    """

    def __init__(self, peers: PeerMessenger, explainer: Explainer) -> None:
        """Subscribes to questions and answers."""
        self._peers = peers
        self._explainer = explainer
        self._messages = peers.subscribe(EXPLAIN_TOPIC)
        self._waiting: dict[JobId, list[asyncio.Future[list[str]]]] = {}

    async def explain(self, job_id: JobId) -> list[str] | None:
        """Returns the reasons, None where the scheduler can't be asked."""
        own = self._explainer.explain(job_id)
        if own is not None:
            return own
        zone = zone_of(job_id)
        owner = None if zone is None else self._owner(zone)
        if owner is None:
            return None
        question = _Message(_Kind.QUESTION, job_id)
        fut: asyncio.Future[list[str]] = (
            asyncio.get_running_loop().create_future()
        )
        waiting = self._waiting.setdefault(job_id, [])
        waiting.append(fut)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                payload = msgspec.msgpack.encode(question)
                if not await self._peers.send(owner, EXPLAIN_TOPIC, payload):
                    return None
                return await fut
        except TimeoutError:
            return None
        finally:
            waiting.remove(fut)
            if not waiting:
                self._waiting.pop(job_id, None)

    async def run(self) -> None:
        """Answers questions and hands answers to those who wait."""
        while True:
            received = await self._messages.get()
            try:
                message = msgspec.msgpack.decode(
                    received.payload, type=_Message
                )
            except msgspec.DecodeError:
                continue
            if message.kind is _Kind.QUESTION:
                await self._reply(received, message.job_id)
                continue
            for fut in self._waiting.get(message.job_id, ()):
                if not fut.done():
                    fut.set_result(list(message.reasons))

    async def _reply(self, received: PeerMessage, job_id: JobId) -> None:
        reasons = self._explainer.explain(job_id)
        if reasons is None:
            return
        answer = _Message(_Kind.ANSWER, job_id, tuple(reasons))
        payload = msgspec.msgpack.encode(answer)
        await self._peers.send(received.sender, EXPLAIN_TOPIC, payload)

    def _owner(self, zone: ZoneName) -> NodeId | None:
        digests = decode_digests(self._peers.digests(DIGEST_TOPIC).values())
        if zone not in digests:
            return None
        return digests[zone][0].sender
