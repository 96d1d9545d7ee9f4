"""Waves of upkeep: each machine goes down once, a few at a time, by a deadline.

The order for a machine may be repeated, so nothing has to be stored: a
successor sends the order to every machine of the wave again and learns which
ones have had their upkeep. A machine that its predecessor took down is listed
as in upkeep and counts as down. A machine's tasks end with the order; those
that are about to end are waited for while the wave has time.
"""

from __future__ import annotations

import enum
from collections.abc import Set
from typing import NewType

import msgspec

MachineId = NewType("MachineId", str)

# Share of a wave's time that is kept in reserve for delays and failures.
RESERVE_SHARE = 0.3
# Pause before an order that was refused or got no answer is sent again, in
# seconds.
RETRY_S = 0.7


class Wave(msgspec.Struct, frozen=True):
    """A wave of upkeep, as the operator requested it.

    Attributes:
      number: the number of the wave.
      machines: the machines that need upkeep.
      duration_s: time within which the whole wave has to be done, in seconds.
      max_at_once: limit on the machines that are down for it at the same time.
    """

    number: int
    machines: tuple[MachineId, ...]
    duration_s: float
    max_at_once: int


class UpkeepOutcome(enum.Enum):
    """The outcome of an order for one machine.

    DONE: the machine is down for its upkeep now or has already had it.
    BUSY: the machine can't go down now.
    NOT_OF_WAVE: the machine needs no upkeep in this wave.
    NO_ANSWER: the order may or may not have been carried out.
    """

    DONE = "done"
    BUSY = "busy"
    NOT_OF_WAVE = "not_of_wave"
    NO_ANSWER = "no_answer"


class _MachineState:
    """The state of one machine in a wave."""

    def __init__(self) -> None:
        self.is_done = False
        self.down_until: float | None = None
        self.maybe_down_until: float | None = None
        self.ordered = False
        self.retry_at = 0.0


class WavePlan:
    """Decides which machine of a wave goes down next.

    Args:
      wave: the wave.
      now: when the wave was first seen, in seconds.
      upkeep_s: how long a machine is down, in seconds.
    """

    def __init__(self, wave: Wave, now: float, upkeep_s: float) -> None:
        """Creates a plan in which no machine is done."""
        self.wave = wave
        self._upkeep_s = upkeep_s
        self._ends_at = now + wave.duration_s * (1 - RESERVE_SHARE)
        self._machines = {each: _MachineState() for each in wave.machines}

    @property
    def completed(self) -> bool:
        """Whether no machine is left to be ordered down."""
        return all(each.is_done for each in self._machines.values())

    def next_order(
        self,
        load: dict[MachineId, float],
        now: float,
        in_upkeep: Set[MachineId] = frozenset(),
    ) -> MachineId | None:
        """Returns the machine to order down now, None when none should be.

        Args:
          load: seconds until the tasks on each machine will have ended;
            machines that no longer exist are missing.
          now: the present time, in seconds.
          in_upkeep: machines that were just listed as down for upkeep, whoever
            ordered it.
        """
        states = self._machines
        for machine in [m for m in states if m not in load]:
            states[machine].is_done = True
        down = sum(
            each in in_upkeep or self._counts_as_down(state, now)
            for each, state in states.items()
        )
        if down >= max(1, self.wave.max_at_once):
            return None
        waiting = [
            each
            for each, state in states.items()
            if not state.is_done and not state.ordered and state.retry_at <= now
        ]
        if not waiting:
            return None
        best = min(waiting, key=lambda each: (load[each], each))
        if load[best] > self._max_wait_s(now):
            states[best].ordered = True
            return best
        if load[best] > 0:
            return None
        states[best].ordered = True
        return best

    def _max_wait_s(self, now: float) -> float:
        """Returns how long the next order can be put off, in seconds."""
        left = sum(not each.is_done for each in self._machines.values())
        batches = -(-left // max(1, self.wave.max_at_once))
        return self._ends_at - now - batches * self._upkeep_s

    @staticmethod
    def _counts_as_down(state: _MachineState, now: float) -> bool:
        if state.ordered:
            return True
        until = max(state.down_until or 0.0, state.maybe_down_until or 0.0)
        return until > now

    def record_outcome(
        self, machine: MachineId, outcome: UpkeepOutcome, now: float
    ) -> None:
        """Records the outcome of an order."""
        state = self._machines[machine]
        state.ordered = False
        state.retry_at = now + RETRY_S
        if outcome is UpkeepOutcome.DONE:
            state.is_done = True
            state.down_until = now + self._upkeep_s + RETRY_S
        elif outcome is UpkeepOutcome.NOT_OF_WAVE:
            state.is_done = True
        elif outcome is UpkeepOutcome.NO_ANSWER:
            state.maybe_down_until = now + self._upkeep_s + RETRY_S

    def remaining_machines(self) -> set[MachineId]:
        """Returns the machines that still have to go down."""
        return {each for each, s in self._machines.items() if not s.is_done}
