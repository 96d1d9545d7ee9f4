"""Waves of upkeep: each machine goes down once, few at a time, in time.

The order for a machine may be repeated, so that nothing has to be stored: a
successor puts the order again to every machine of the wave and learns which
have had it. A machine's tasks end with the order; those that are about to end
are waited for while the wave has time.
"""

from __future__ import annotations

import enum
from typing import NewType

import msgspec

MachineId = NewType("MachineId", str)

# Time of a wave that is kept for what goes wrong, as a share of it.
RESERVE_SHARE = 0.3
# Pause before an order that was refused or got no answer is put again, in
# seconds.
RETRY_S = 0.7


class Wave(msgspec.Struct, frozen=True):
    """A wave as the operator asked for it.

    Attributes:
      number: its number.
      machines: the machines that need upkeep.
      duration_s: the time that all of it may take, in seconds.
      most_at_once: how many may be down for it at once.
    """

    number: int
    machines: tuple[MachineId, ...]
    duration_s: float
    max_at_once: int


class UpkeepOutcome(enum.Enum):
    """What became of the order for one machine.

    DONE: it is down for its upkeep now, or had it already.
    BUSY: not now.
    NOT_OF_WAVE: it needs none.
    NO_ANSWER: the order may have been carried out.
    """

    DONE = "done"
    BUSY = "busy"
    NOT_OF_WAVE = "not_of_wave"
    NO_ANSWER = "no_answer"


class _MachineState:
    """One machine of a wave."""

    def __init__(self) -> None:
        self.over = False
        self.down_until: float | None = None
        self.doubtful_until: float | None = None
        self.ordered = False
        self.next_at = 0.0


class WavePlan:
    """Decides which machine of one wave goes down next.

    Args:
      wave: the wave.
      now: when it was first seen, in seconds.
      upkeep_s: how long a machine is down, in seconds.
    """

    def __init__(self, wave: Wave, now: float, upkeep_s: float) -> None:
        """Starts with all machines to be done."""
        self.wave = wave
        self._upkeep_s = upkeep_s
        self._ends_at = now + wave.duration_s * (1 - RESERVE_SHARE)
        self._machines = {each: _MachineState() for each in wave.machines}

    @property
    def completed(self) -> bool:
        """Whether no machine is left."""
        return all(each.over for each in self._machines.values())

    def next_order(
        self, load: dict[MachineId, float], now: float
    ) -> MachineId | None:
        """Returns the machine to order down now, None for not yet.

        Args:
          load: seconds until what runs on a machine will have ended; machines
            that aren't there are missing.
          now: the present time, in seconds.
        """
        states = self._machines
        for machine in [m for m in states if m not in load]:
            states[machine].over = True
        if sum(self._counts_as_down(s, now) for s in states.values()) >= max(
            1, self.wave.max_at_once
        ):
            return None
        waiting = [
            each
            for each, state in states.items()
            if not state.over and not state.ordered and state.next_at <= now
        ]
        if not waiting:
            return None
        best = min(waiting, key=lambda each: (load[each], each))
        if load[best] > self._may_wait_s(now):
            states[best].ordered = True
            return best
        if load[best] > 0:
            return None
        states[best].ordered = True
        return best

    def _may_wait_s(self, now: float) -> float:
        """Returns how long the next order can wait with the wave in time."""
        left = sum(not each.over for each in self._machines.values())
        rounds = -(-left // max(1, self.wave.max_at_once))
        return self._ends_at - now - rounds * self._upkeep_s

    @staticmethod
    def _counts_as_down(state: _MachineState, now: float) -> bool:
        if state.ordered:
            return True
        until = max(state.down_until or 0.0, state.doubtful_until or 0.0)
        return until > now

    def answered(
        self, machine: MachineId, outcome: UpkeepOutcome, now: float
    ) -> None:
        """Takes in what became of an order."""
        state = self._machines[machine]
        state.ordered = False
        state.next_at = now + RETRY_S
        if outcome is UpkeepOutcome.DONE:
            state.over = True
            state.down_until = now + self._upkeep_s + RETRY_S
        elif outcome is UpkeepOutcome.NOT_OF_WAVE:
            state.over = True
        elif outcome is UpkeepOutcome.NO_ANSWER:
            state.doubtful_until = now + self._upkeep_s + RETRY_S

    def next_machines(self) -> set[MachineId]:
        """Returns the machines that still have to go down."""
        return {each for each, s in self._machines.items() if not s.over}
