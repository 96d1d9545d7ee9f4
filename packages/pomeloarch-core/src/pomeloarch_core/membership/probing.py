"""Probes that wait for an answer, and whose turn it is to be probed."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from pomeloarch_core.ids import NodeId
from pomeloarch_core.membership.config import MembershipConfig
from pomeloarch_core.membership.messages import Frame


class PendingProbe(msgspec.Struct):
    """A probe without an answer so far, maybe sent for another node.

    Attributes:
      sequence: its number.
      target: the node that it is for.
      address: where it went.
      sent_at: when it was first sent.
      relayed: whether others were asked to probe.
      asker: the request of another node that it was sent for.
      asker_sequence: that request's number.
    """

    sequence: int
    target: NodeId
    address: str
    sent_at: float
    relayed: bool = False
    asker: Frame | None = None
    asker_sequence: int = 0


class ProbeTable:
    """The probes that wait for an answer.

    Args:
      cfg: the time-outs.
      rng: for the first sequence number.
    """

    def __init__(self, cfg: MembershipConfig, rng: random.Random) -> None:
        """Starts with none."""
        self._cfg = cfg
        self._sequence = rng.getrandbits(32)
        self._pending: dict[int, PendingProbe] = {}

    def number(self) -> int:
        """Returns a new sequence number."""
        self._sequence += 1
        return self._sequence

    def begin(
        self,
        target: NodeId,
        address: str,
        now: float,
        asker: Frame | None = None,
        asker_sequence: int = 0,
    ) -> PendingProbe:
        """Notes a probe that is sent now."""
        probe = PendingProbe(
            self.number(),
            target,
            address,
            now,
            asker=asker,
            asker_sequence=asker_sequence,
        )
        self._pending[probe.sequence] = probe
        return probe

    def answered(self, sequence: int, target: NodeId) -> PendingProbe | None:
        """Takes the probe that an answer belongs to out of the table."""
        probe = self._pending.get(sequence)
        if probe is None or probe.target != target:
            return None
        return self._pending.pop(sequence)

    def to_relay(self, now: float) -> list[PendingProbe]:
        """Returns the probes for which others are to be asked now."""
        found = [
            probe
            for probe in self._pending.values()
            if not self._last_wait(probe) and now >= self._due(probe)
        ]
        for probe in found:
            probe.relayed = True
        return found

    def overdue(self, now: float) -> list[PendingProbe]:
        """Takes the probes out that nobody has answered."""
        found = [
            probe
            for probe in self._pending.values()
            if self._last_wait(probe) and now >= self._due(probe)
        ]
        for probe in found:
            del self._pending[probe.sequence]
        return found

    def due(self) -> float:
        """Returns when the next time-out is."""
        dues = map(self._due, self._pending.values())
        return min(dues, default=float("inf"))

    def clear(self) -> None:
        """Forgets all probes."""
        self._pending.clear()

    def _last_wait(self, probe: PendingProbe) -> bool:
        return probe.relayed or probe.asker is not None

    def _due(self, probe: PendingProbe) -> float:
        if self._last_wait(probe):
            return probe.sent_at + self._cfg.probe_timeout_s
        return probe.sent_at + self._cfg.ack_timeout_s


class ShuffledRounds:
    """Each node's turn once a round, in an order shuffled anew (SWIM).

    Args:
      rng: for the order.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts before the first round."""
        self._rng = rng
        self._ring: list[NodeId] = []

    def take(self, live: Iterable[NodeId], count: int) -> list[NodeId]:
        """Returns the next nodes of the round, fewer at its end.

        Args:
          live: the nodes that a new round is made of.
          count: how many to return at the most.
        """
        present = set(live)
        self._ring = [node for node in self._ring if node in present]
        if not self._ring:
            self._ring = sorted(present)
            self._rng.shuffle(self._ring)
        taken = self._ring[:count]
        del self._ring[:count]
        return taken
