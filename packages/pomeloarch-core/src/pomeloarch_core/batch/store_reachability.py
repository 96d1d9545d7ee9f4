"""Decides whether the store counts as in reach of a node."""

from __future__ import annotations

# The store is in reach while it has answered this recently, in seconds. One
# that is sixty times slower than usual takes 0.25 s for an answer, and two of
# them and the wait of a feed pass between its answers.
IN_REACH_WITHIN_S = 1.4


class StoreReachability:
    """What a node knows of its way to the store.

    The store's silence alone may be its slowness. Where the peers of all other
    zones are silent as well, the node is cut off, and it need not wait as long
    as for a slow store.
    """

    def __init__(self) -> None:
        """Starts without any answer."""
        self._answered_at = float("-inf")
        self._cut_off_at = float("-inf")

    def answered(self, asked_at: float) -> None:
        """Takes in an answer of the store.

        Args:
          asked_at: since when the answer holds, in seconds.
        """
        self._answered_at = max(self._answered_at, asked_at)

    def cut_off(self, asked_at: float) -> None:
        """Takes it that neither the store nor a peer answers.

        Args:
          asked_at: when the store was asked without an answer, in seconds.
        """
        self._cut_off_at = max(self._cut_off_at, asked_at)

    def age(self, now: float) -> float:
        """Returns how long the store has been silent, in seconds."""
        return now - self._answered_at

    def in_reach(self, now: float) -> bool:
        """Whether calls that need the store are worth a try."""
        return (
            self._answered_at >= self._cut_off_at
            and self.age(now) < IN_REACH_WITHIN_S
        )
