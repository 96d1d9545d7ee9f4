"""Executors that are leaving, as learned from any source."""

from __future__ import annotations

from collections.abc import Iterable

from pomeloarch_core.ids import ExecutorId

NOTICE_TTL_S = 300.0


class LeavingExecutors:
    """The set of executors that are known to be leaving.

    The sources are the platform's list, the executors themselves and other
    nodes. A notice from the executor itself is kept for minutes, because the
    list is updated late. A notice from another node isn't passed on, so that it
    doesn't circulate among nodes forever.
    """

    def __init__(self) -> None:
        """Starts with no executor leaving."""
        self._listed: frozenset[ExecutorId] = frozenset()
        self._noticed_until: dict[ExecutorId, float] = {}
        self._from_peers: frozenset[ExecutorId] = frozenset()

    def __contains__(self, executor_id: ExecutorId) -> bool:
        """Returns whether an executor is leaving."""
        return (
            executor_id in self._noticed_until
            or executor_id in self._listed
            or executor_id in self._from_peers
        )

    def update_listed(self, leaving: Iterable[ExecutorId]) -> None:
        """Replaces the executors that the platform lists as leaving."""
        self._listed = frozenset(leaving)

    def update_from_peers(self, leaving: Iterable[ExecutorId]) -> None:
        """Replaces the executors that other nodes report as leaving."""
        self._from_peers = frozenset(leaving)

    def record_notice(self, executor_id: ExecutorId, now: float) -> None:
        """Records that the executor itself announced that it is leaving."""
        self._noticed_until[executor_id] = now + NOTICE_TTL_S

    def record_restart(self, executor_id: ExecutorId) -> None:
        """Records that an executor refused connections.

        The process that announced its leaving is gone; the next one at this
        address is new.
        """
        self._noticed_until.pop(executor_id, None)

    def own_observations(self, now: float) -> list[ExecutorId]:
        """Returns the executors that told this node that they are leaving.

        Notices that have expired are dropped.
        """
        self._noticed_until = {
            executor_id: until
            for executor_id, until in self._noticed_until.items()
            if until > now
        }
        return sorted(self._noticed_until)
