"""The faults that a stand-in executor can be told to show."""

from __future__ import annotations

import enum
from typing import Annotated

import msgspec


class Fault(enum.Enum):
    """How an executor goes bad.

    Members:
      NONE: it answers as it should.
      SLOW: it takes many times as long.
      STALL: it starts the work and never answers.
      TRUNCATE: it ends the connection in the middle of the body.
      RESET: it resets the connection after the work ran.
      FAST_FAIL: it answers 500 at once.
      LATE: it answers seconds after the work is done.
      DRAIN: it says that it is leaving and later refuses new work.
      DEAD: it takes no connection and has dropped all it had.
      SILENT: the connections it has now go silent; new ones work.
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
    """A body of `POST /faults`.

    Attributes:
      executor: the index of the executor, or "all".
      fault: what it shows from now on; "none" ends any fault.
      factor: how many times as long a slow one takes.
      delay_s: how long a late one waits, in seconds.
      drain_s: time after which a draining one refuses, in seconds.
    """

    executor: Annotated[int, msgspec.Meta(ge=0)] | str
    fault: Fault
    factor: float = 10.0
    delay_s: float = 5.0
    drain_s: float = 0.5
