"""The exchange of digests by probes and their answers."""

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

# Marks of other nodes in a probe while the byte budget is used up.
_MARKS_OVER_BUDGET = 2


class DigestExchange:
    """One node's side of the exchange of digests.

    Args:
      local: this node.
      members: the other nodes; digests of unknown nodes are ignored.
      bucket: the byte budget of this node's control traffic.
      cfg: limits of the protocol.
      rng: draws the order of marks.
    """

    def __init__(
        self,
        local: Rumour,
        members: MemberTable,
        bucket: TokenBucket,
        cfg: MembershipConfig,
        rng: random.Random,
    ) -> None:
        """Starts without digests."""
        self._node = local.node
        self._members = members
        self._bucket = bucket
        self._cfg = cfg
        self._rounds = ShuffledRounds(rng)
        self._store = DigestStore(local.node, local.incarnation)

    def set_own(self, topic: str, payload: bytes) -> None:
        """Replaces this node's digest of a topic.

        Raises:
          ValueError: the digest is larger than `MAX_DIGEST_BYTES`.
        """
        if len(payload) > MAX_DIGEST_BYTES:
            raise ValueError(
                f"the digest of {topic} has {len(payload)} bytes, more than "
                f"{MAX_DIGEST_BYTES}"
            )
        self._store.set_own(topic, payload)

    def restart(self, incarnation: int) -> None:
        """Renumbers this node's digests under a higher incarnation."""
        self._store.restart(incarnation)

    def forget(self, node: NodeId) -> None:
        """Drops the digests of another node."""
        self._store.forget(node)

    def of_topic(self, topic: str) -> dict[NodeId, Deliver]:
        """Returns the latest digests of the other live nodes."""
        found = {}
        for entry in self._store.of_topic(topic):
            member = self._members.get(entry.node)
            if member is not None and member.is_live:
                found[entry.node] = _delivery(entry, member.rumour)
        return found

    def marks(self, now: float) -> tuple[Mark, ...]:
        """Returns this node's mark and those of the next other nodes."""
        count = self._cfg.max_marks - 1
        if self._digest_room_bytes(now) == 0:
            count = _MARKS_OVER_BUDGET
        live = [rumour.node for rumour in self._members.live_rumours()]
        nodes = [self._node, *self._rounds.take(live, count)]
        return tuple(map(self._store.mark, nodes))

    def compare(
        self, marks: Iterable[Mark], now: float
    ) -> tuple[tuple[Entry, ...], tuple[Mark, ...]]:
        """Compares a prober's marks with the digests known here.

        Returns:
          The digests that the prober lacks, as many as the budget allows, and
          the marks of digests for which the prober has newer versions.
        """
        older, wanted = [], []
        for mark in marks:
            known = self._store.mark(mark.node)
            if _progress(known) >= _progress(mark):
                older.append(mark)
            elif self._members.get(mark.node) is not None:
                wanted.append(known)
        return self.entries_after(older, now), tuple(wanted)

    def entries_after(
        self, marks: Iterable[Mark], now: float
    ) -> tuple[Entry, ...]:
        """Returns digests after the marks, as many as the budget allows."""
        room = self._digest_room_bytes(now)
        entries: list[Entry] = []
        for mark in marks:
            found = self._store.entries_after(mark, room)
            room -= sum(map(entry_bytes, found))
            entries += found
        return tuple(entries)

    def apply(self, entries: Iterable[Entry]) -> list[Deliver]:
        """Stores digests of other nodes; returns those that were new."""
        deliveries = []
        for entry in entries:
            member = self._members.get(entry.node)
            if member is None or len(entry.payload) > MAX_DIGEST_BYTES:
                continue
            if self._store.apply(entry):
                deliveries.append(_delivery(entry, member.rumour))
        return deliveries

    def _digest_room_bytes(self, now: float) -> int:
        available = (
            self._bucket.available(now) - self._cfg.message_reserve_bytes
        )
        return max(0, min(self._cfg.max_digest_bytes_per_frame, int(available)))


def _progress(mark: Mark) -> tuple[int, int]:
    return mark.incarnation, mark.version


def _delivery(entry: Entry, rumour: Rumour) -> Deliver:
    return Deliver(
        entry.node, rumour.availability_zone, entry.topic, entry.payload
    )
