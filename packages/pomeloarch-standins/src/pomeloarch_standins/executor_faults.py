"""The faults that a simulated executor can be ordered to simulate."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec


class Fault(enum.Enum):
    """The fault of an executor.

    Attributes:
      NONE: it has no fault.
      SLOW: it takes several times as long.
      STALL: it starts the work and never answers.
      TRUNCATE: it closes the connection in the middle of the body.
      RESET: it resets the connection after the work was done.
      FAST_FAIL: it answers with status 500 at once.
      LATE: it answers some seconds after the work is done.
      DRAIN: it announces that it is leaving and later refuses new work.
      DEAD: it drops its connections and accepts no new ones.
      SILENT: it no longer answers on its present connections, while new ones
        work.
      LYING: it always reports a load of zero.
    """

    NONE = "none"
    SLOW = "slow"
    STALL = "stall"
    TRUNCATE = "truncate"
    RESET = "reset"
    FAST_FAIL = "fast-fail"
    LATE = "late"
    DRAIN = "drain"
    DEAD = "dead"
    SILENT = "silent"
    LYING = "lying"


class FaultOrder(msgspec.Struct, frozen=True):
    """The body of `POST /faults`.

    Attributes:
      executor: the index of the executor, or "all".
      fault: the fault from now on; "none" ends any fault.
      factor: for `slow`, how many times as long a request takes.
      delay_s: for `late`, the delay of the answer, in seconds.
      drain_s: for `drain`, the time after which the executor refuses new work,
        in seconds.
    """

    executor: Annotated[int, msgspec.Meta(ge=0)] | str
    fault: Fault
    factor: float = 10.0
    delay_s: float = 5.0
    drain_s: float = 0.5
