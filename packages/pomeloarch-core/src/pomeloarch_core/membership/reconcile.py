"""The exchange of digests that rides on probes and their answers."""

from __future__ import annotations

import random
from collections.abc import Iterable

from pomeloarch_core.ids import NodeId
from pomeloarch_core.membership.budget import TokenBucket
from pomeloarch_core.membership.config import MembershipConfig
from pomeloarch_core.membership.digests import DigestStore, entry_bytes
from pomeloarch_core.membership.members import MemberTable
from pomeloarch_core.membership.messages import (
    MAX_DIGEST_BYTES,
    Deliver,
    Entry,
    Mark,
    Rumour,
)
from pomeloarch_core.membership.probing import ShuffledRounds

# Marks in a probe beside the own one while the byte budget is used up.
_MARKS_WITHOUT_ROOM = 2


class DigestExchange:
    """One node's side of the exchange.

    Args:
      me: this node.
      members: the other nodes; digests of unknown ones are not taken.
      bucket: the byte budget of all that this node sends.
      cfg: bounds.
      rng: for the order of marks.
    """

    def __init__(
        self,
        me: Rumour,
        members: MemberTable,
        bucket: TokenBucket,
        cfg: MembershipConfig,
        rng: random.Random,
    ) -> None:
        """Starts with no digest."""
        self._me = me.node
        self._members = members
        self._bucket = bucket
        self._cfg = cfg
        self._rounds = ShuffledRounds(rng)
        self._store = DigestStore(me.node, me.incarnation)

    def set_own(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic.

        Raises:
          ValueError: the digest is larger than `MAX_DIGEST_BYTES`.
        """
        if len(payload) > MAX_DIGEST_BYTES:
            raise ValueError(
                f"a digest of {topic} has {len(payload)} bytes, more than "
                f"{MAX_DIGEST_BYTES}"
            )
        self._store.set_own(topic, payload)

    def restart(self, incarnation: int) -> None:
        """Numbers this node's digests anew under a higher incarnation."""
        self._store.restart(incarnation)

    def forget(self, node: NodeId) -> None:
        """Drops another node's digests."""
        self._store.forget(node)

    def of_topic(self, topic: str) -> dict[NodeId, Deliver]:
        """Returns the latest digests of the other live nodes."""
        found = {}
        for entry in self._store.topic(topic):
            member = self._members.get(entry.node)
            if member is not None and member.live:
                found[entry.node] = _delivery(entry, member.rumour)
        return found

    def marks(self, now: float) -> tuple[Mark, ...]:
        """Returns own marks and those of the next others in turn."""
        count = self._cfg.max_marks - 1
        if self._room(now) == 0:
            count = _MARKS_WITHOUT_ROOM
        live = [rumour.node for rumour in self._members.live()]
        nodes = [self._me, *self._rounds.take(live, count)]
        return tuple(map(self._store.mark, nodes))

    def answer(
        self, marks: Iterable[Mark], now: float
    ) -> tuple[tuple[Entry, ...], tuple[Mark, ...]]:
        """Compares a prober's marks with what is known here.

        Returns:
          The digests that the prober lacks, as many as the budget allows,
          and up to where this node knows what the prober knows better.
        """
        older, wanted = [], []
        for mark in marks:
            known = self._store.mark(mark.node)
            if _place(known) >= _place(mark):
                older.append(mark)
            elif self._members.get(mark.node) is not None:
                wanted.append(known)
        return self.newer(older, now), tuple(wanted)

    def newer(self, marks: Iterable[Mark], now: float) -> tuple[Entry, ...]:
        """Returns digests above the marks, as many as the budget allows."""
        room = self._room(now)
        entries: list[Entry] = []
        for mark in marks:
            found = self._store.newer(mark, room)
            room -= sum(map(entry_bytes, found))
            entries += found
        return tuple(entries)

    def take(self, entries: Iterable[Entry]) -> list[Deliver]:
        """Takes digests of others; returns those that were news."""
        news = []
        for entry in entries:
            member = self._members.get(entry.node)
            if member is None or len(entry.payload) > MAX_DIGEST_BYTES:
                continue
            if self._store.apply(entry):
                news.append(_delivery(entry, member.rumour))
        return news

    def _room(self, now: float) -> int:
        available = self._bucket.available(now) - self._cfg.message_reserve
        return max(0, min(self._cfg.frame_room, int(available)))


def _place(mark: Mark) -> tuple[int, int]:
    return mark.incarnation, mark.version


def _delivery(entry: Entry, rumour: Rumour) -> Deliver:
    return Deliver(
        entry.node, rumour.availability_zone, entry.topic, entry.payload
    )
