"""Compares two versions by plays of the same days, one of each in turn."""

from __future__ import annotations

import math
import statistics
from collections.abc import Sequence

import msgspec


class PairedComparison(msgspec.Struct, frozen=True):
    """What the plays of two versions with the same seeds tell.

    Attributes:
      plays: the number of pairs.
      before: the mean worth of the first version, as a share of what was owed.
      after: that of the second one.
      difference: the mean of `after` less `before` over the pairs.
      standard_error: the standard error of that mean; infinite for one pair.
    """

    plays: int
    before: float
    after: float
    difference: float
    standard_error: float

    @classmethod
    def from_pairs(
        cls, pairs: Sequence[tuple[float, float]]
    ) -> PairedComparison:
        """Returns the comparison of pairs of worth, `(before, after)`.

        Raises:
          ValueError: there are no pairs.
        """
        if not pairs:
            raise ValueError("no pair of plays to compare")
        differences = [after - before for before, after in pairs]
        error = math.inf
        if len(pairs) > 1:
            error = statistics.stdev(differences) / math.sqrt(len(pairs))
        return cls(
            len(pairs),
            statistics.fmean(before for before, _ in pairs),
            statistics.fmean(after for _, after in pairs),
            statistics.fmean(differences),
            error,
        )

    def __str__(self) -> str:
        """Returns the comparison as one line for people."""
        return (
            f"{self.plays} pairs: {self.before:.4f} -> {self.after:.4f}, "
            f"difference {self.difference:+.4f} +- {self.standard_error:.4f}"
        )


def read_worth(report: bytes) -> float:
    """Returns the worth of a play, given the report that the bench wrote.

    Raises:
      ValueError: the report has no worth, or the play had a fault.
    """
    try:
        found = msgspec.json.decode(report, type=_Report)
    except msgspec.MsgspecError as exc:
        raise ValueError(f"not the report of a play: {exc}") from exc
    if found.fault is not None:
        raise ValueError(f"the play had a fault: {found.fault}")
    return found.G


class _Report(msgspec.Struct):
    # Benefit less prices, over the benefit that was owed.
    G: float
    fault: object = None
