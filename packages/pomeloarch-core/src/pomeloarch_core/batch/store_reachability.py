"""Decides whether a node can reach the store."""

from __future__ import annotations

# The store is in reach while its last answer is younger than this, in seconds.
# A store that is sixty times slower than usual takes 0.25 s for an answer. When
# the next answer of a feed arrives, the last one is then as old as the feed's
# wait for a change and two such times together.
MAX_ANSWER_AGE_S = 1.4


class StoreReachability:
    """Tracks whether a node's store is in reach.

    A store that is silent may only be slow. Where the peers of all other zones
    are silent as well, the node is cut off, and there is no need to wait as
    long as for a slow store.
    """

    def __init__(self) -> None:
        """Starts without any answer."""
        self._answered_at = float("-inf")
        self._cut_off_at = float("-inf")

    def record_answer(self, asked_at: float) -> None:
        """Records an answer of the store.

        Args:
          asked_at: the time from which the answer is valid, in seconds.
        """
        self._answered_at = max(self._answered_at, asked_at)

    def record_cut_off(self, asked_at: float) -> None:
        """Records that neither the store nor a peer answers.

        Args:
          asked_at: when the store was asked without an answer, in seconds.
        """
        self._cut_off_at = max(self._cut_off_at, asked_at)

    def age(self, now: float) -> float:
        """Returns how long the store has been silent, in seconds."""
        return now - self._answered_at

    def is_reachable(self, now: float) -> bool:
        """Returns whether calls that need the store are worth trying."""
        return (
            self._answered_at >= self._cut_off_at
            and self.age(now) < MAX_ANSWER_AGE_S
        )
