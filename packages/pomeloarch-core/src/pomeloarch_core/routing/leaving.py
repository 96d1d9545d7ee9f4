"""Executors that are leaving, learned from whoever says so first."""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.ids import ExecutorId

HOLD_S = 300.0


class LeavingExecutors:
    """Remembers which executors are leaving.

    A sign from the executor itself holds for minutes, as the list lags. A
    sign from a peer isn't passed on, so that it doesn't circle among nodes.
    """

    def __init__(self) -> None:
        """Starts with none leaving."""
        self._listed: frozenset[ExecutorId] = frozenset()
        self._until: dict[ExecutorId, float] = {}
        self._heard: frozenset[ExecutorId] = frozenset()

    def __contains__(self, executor_id: ExecutorId) -> bool:
        """Returns whether an executor is leaving."""
        return (
            executor_id in self._until
            or executor_id in self._listed
            or executor_id in self._heard
        )

    def take_list(self, leaving: Iterable[ExecutorId]) -> None:
        """Takes the platform's newer list in."""
        self._listed = frozenset(leaving)

    def update_from_peers(self, leaving: Iterable[ExecutorId]) -> None:
        """Takes in what all peers together say at present."""
        self._heard = frozenset(leaving)

    def record_notice(self, executor_id: ExecutorId, now: float) -> None:
        """Takes in that the executor itself said so."""
        self._until[executor_id] = now + HOLD_S

    def record_restart(self, executor_id: ExecutorId) -> None:
        """Takes in that it refused connections: what comes next is new."""
        self._until.pop(executor_id, None)

    def own_observations(self, now: float) -> list[ExecutorId]:
        """Returns those that this node knows of itself, to tell peers."""
        self._until = {
            executor_id: until
            for executor_id, until in self._until.items()
            if until > now
        }
        return sorted(self._until)
