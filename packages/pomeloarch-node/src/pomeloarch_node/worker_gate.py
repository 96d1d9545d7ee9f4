"""Decides which calls to workers may be sent, and under which epoch."""

from __future__ import annotations

from collections.abc import Callable

from pomeloarch_core.gang.messages import (
    OrderAnswered,
    WorkerReported,
    WorkerUnreachable,
)
from pomeloarch_core.ids import Epoch, NodeId
from pomeloarch_node.scheduler_tenure import Tenure
from pomeloarch_node.worker_client import WorkerClient

# Shortest interval between heartbeats to one worker, in seconds.
MIN_HEARTBEAT_S = 1.0
# Shortest lease of tasks, in seconds.
MIN_LEASE_S = 6.0
# Length of a lease in heartbeat intervals, if that exceeds MIN_LEASE_S.
LEASE_HEARTBEATS = 6.0
# Limit on the heartbeats per second to all workers. In a larger fleet, the
# intervals between heartbeats are longer, and so are the leases.
MAX_HEARTBEATS_PER_S = 100.0

WorkerEvent = OrderAnswered | WorkerReported | WorkerUnreachable


class WorkerGate:
    """State that all links of a node to workers share.

    While the role is held, orders and heartbeats are sent under its epoch. If
    the lease of the role has expired and no newer holder has appeared, only
    heartbeats go on, under the last epoch. They start nothing, but keep running
    tasks from being stopped just because the platform is unreachable. They end
    as soon as a worker or a table names a higher epoch.

    Attributes:
      client: sends the calls.
      holder: this node.
      heartbeat_s: interval between heartbeats to one worker, in seconds.

    Args:
      client: sends the calls.
      holder: this node.
    """

    def __init__(self, client: WorkerClient, holder: NodeId) -> None:
        """Starts without an epoch, so that no calls may be sent."""
        self.client = client
        self.holder = holder
        self.heartbeat_s = MIN_HEARTBEAT_S
        self._tenure: Tenure | None = None
        self._emit: Callable[[WorkerEvent], None] | None = None

    @property
    def lease_s(self) -> float:
        """Length of the tasks' leases after a call, in seconds."""
        return max(MIN_LEASE_S, LEASE_HEARTBEATS * self.heartbeat_s)

    def adjust_heartbeats(self, workers: int) -> None:
        """Adjusts the interval between heartbeats to the number of workers."""
        self.heartbeat_s = max(MIN_HEARTBEAT_S, workers / MAX_HEARTBEATS_PER_S)

    def begin_tenure(
        self, tenure: Tenure, emit: Callable[[WorkerEvent], None]
    ) -> None:
        """Allows orders and heartbeats under a tenure.

        Args:
          tenure: the tenure.
          emit: called with each event of the links.
        """
        self._tenure = tenure
        self._emit = emit

    def end_tenure(self) -> None:
        """Allows no more orders; heartbeats may go on."""
        self._emit = None

    @property
    def is_caretaking(self) -> bool:
        """Whether heartbeats go on although the lease has expired."""
        tenure = self._tenure
        if tenure is None or tenure.is_superseded:
            return False
        return not tenure.is_held()

    def supersede(self, reason: str) -> None:
        """Ends orders and heartbeats because a newer holder has appeared."""
        if self._tenure is not None:
            self._tenure.supersede(reason)

    async def wait_until_superseded(self) -> None:
        """Waits until a newer holder has appeared."""
        if self._tenure is not None:
            await self._tenure.wait_until_superseded()

    def heartbeat_epoch(self) -> Epoch | None:
        """Returns the epoch for heartbeats, None if none may be sent."""
        if self._tenure is None or self._tenure.is_superseded:
            return None
        return self._tenure.epoch

    def may_order(self, epoch: Epoch) -> bool:
        """Returns whether orders of an epoch may be sent now."""
        return (
            self._emit is not None
            and self._tenure is not None
            and self._tenure.epoch == epoch
            and self._tenure.is_held()
        )

    def emit(self, event: WorkerEvent) -> None:
        """Passes an event to the scheduler if one is running."""
        if self._emit is not None:
            self._emit(event)
