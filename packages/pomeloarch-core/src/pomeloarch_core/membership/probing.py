"""Probes that await an answer, and the order in which nodes are probed."""

from __future__ import annotations

import random
from collections.abc import Iterable

import msgspec

from pomeloarch_core.ids import NodeId
from pomeloarch_core.membership.config import MembershipConfig
from pomeloarch_core.membership.messages import Frame


class PendingProbe(msgspec.Struct):
    """A probe without an answer yet, possibly sent for another node.

    Attributes:
      sequence: its sequence number.
      target: the node that is probed.
      address: the address that it was sent to.
      sent_at: when it was first sent.
      relayed: whether other nodes have been asked to probe.
      requester: the frame of another node that requested it, if any.
      requester_sequence: the sequence number of that request.
    """

    sequence: int
    target: NodeId
    address: str
    sent_at: float
    relayed: bool = False
    requester: Frame | None = None
    requester_sequence: int = 0


class ProbeTable:
    """The probes that await an answer.

    Args:
      cfg: the time-outs.
      rng: draws the first sequence number.
    """

    def __init__(self, cfg: MembershipConfig, rng: random.Random) -> None:
        """Starts without probes."""
        self._cfg = cfg
        self._sequence = rng.getrandbits(32)
        self._pending: dict[int, PendingProbe] = {}

    def next_sequence(self) -> int:
        """Returns a new sequence number."""
        self._sequence += 1
        return self._sequence

    def begin(
        self,
        target: NodeId,
        address: str,
        now: float,
        requester: Frame | None = None,
        requester_sequence: int = 0,
    ) -> PendingProbe:
        """Adds a probe that is sent now."""
        probe = PendingProbe(
            self.next_sequence(),
            target,
            address,
            now,
            requester=requester,
            requester_sequence=requester_sequence,
        )
        self._pending[probe.sequence] = probe
        return probe

    def take_answered(
        self, sequence: int, target: NodeId
    ) -> PendingProbe | None:
        """Removes and returns the probe to which an answer belongs."""
        probe = self._pending.get(sequence)
        if probe is None or probe.target != target:
            return None
        return self._pending.pop(sequence)

    def take_unacknowledged(self, now: float) -> list[PendingProbe]:
        """Returns the probes for which other nodes must be asked now.

        Each probe is returned once.
        """
        found = [
            probe
            for probe in self._pending.values()
            if not self._is_final_wait(probe) and now >= self._due(probe)
        ]
        for probe in found:
            probe.relayed = True
        return found

    def take_overdue(self, now: float) -> list[PendingProbe]:
        """Removes and returns the probes that have timed out."""
        found = [
            probe
            for probe in self._pending.values()
            if self._is_final_wait(probe) and now >= self._due(probe)
        ]
        for probe in found:
            del self._pending[probe.sequence]
        return found

    def due(self) -> float:
        """Returns the time of the next time-out."""
        dues = map(self._due, self._pending.values())
        return min(dues, default=float("inf"))

    def clear(self) -> None:
        """Drops all probes."""
        self._pending.clear()

    def _is_final_wait(self, probe: PendingProbe) -> bool:
        return probe.relayed or probe.requester is not None

    def _due(self, probe: PendingProbe) -> float:
        if self._is_final_wait(probe):
            return probe.sent_at + self._cfg.probe_timeout_s
        return probe.sent_at + self._cfg.ack_timeout_s


class ShuffledRounds:
    """Rounds in which each node has one turn, in random order (SWIM).

    Args:
      rng: shuffles the nodes.
    """

    def __init__(self, rng: random.Random) -> None:
        """Starts before the first round."""
        self._rng = rng
        self._remaining: list[NodeId] = []

    def take(self, live: Iterable[NodeId], count: int) -> list[NodeId]:
        """Returns the next nodes of the round, fewer at its end.

        Args:
          live: the nodes for a new round.
          count: the maximum number of nodes to return.
        """
        present = set(live)
        self._remaining = [node for node in self._remaining if node in present]
        if not self._remaining:
            self._remaining = sorted(present)
            self._rng.shuffle(self._remaining)
        taken = self._remaining[:count]
        del self._remaining[:count]
        return taken
