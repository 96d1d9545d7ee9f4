"""Under which epoch workers are spoken to, and who hears their answers."""

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

MIN_HEARTBEAT_S = 1.0
MIN_LEASE_S = 6.0
LEASE_HEARTBEATS = 6.0
# Calls to all workers a second; a larger fleet gets longer leases.
MAX_HEARTBEATS_PER_S = 100.0
CALL_TIMEOUT_S = 2.0
CLOCK_MARGIN_S = 1.0
SUSPECT_HEARTBEATS = 3.0

WorkerEvent = OrderAnswered | WorkerReported | WorkerUnreachable


class WorkerGate:
    """What all links of a node to workers share.

    While the role is held, orders and heartbeats go out under its epoch.
    When its lease has run out and no newer holder showed itself, heartbeats
    alone go on under the last epoch: they start nothing, and running tasks
    don't stop only because the platform is away. The first worker or table
    that names a higher epoch ends that too.

    Args:
      client: carries the calls.
      holder: this node.
    """

    def __init__(self, client: WorkerClient, holder: NodeId) -> None:
        """Starts without any epoch."""
        self.client = client
        self.holder = holder
        self.heartbeat_s = MIN_HEARTBEAT_S
        self._tenure: Tenure | None = None
        self._emit: Callable[[WorkerEvent], None] | None = None

    @property
    def lease_s(self) -> float:
        """For how long a call renews tasks' leases, in seconds."""
        return max(MIN_LEASE_S, LEASE_HEARTBEATS * self.heartbeat_s)

    @property
    def suspect_after_s(self) -> float:
        """After how long a silence calls renew no lease, in seconds."""
        return SUSPECT_HEARTBEATS * self.heartbeat_s

    @property
    def lapse_after_s(self) -> float:
        """How long after the last renewal no task runs, in seconds.

        A call may have arrived as late as its timeout.
        """
        return self.lease_s + CALL_TIMEOUT_S + CLOCK_MARGIN_S

    def adjust_heartbeats(self, workers: int) -> None:
        """Fits the pace of heartbeats to the number of workers."""
        self.heartbeat_s = max(MIN_HEARTBEAT_S, workers / MAX_HEARTBEATS_PER_S)

    def begin_tenure(
        self, tenure: Tenure, emit: Callable[[WorkerEvent], None]
    ) -> None:
        """Opens for orders of a tenure."""
        self._tenure = tenure
        self._emit = emit

    def end_tenure(self) -> None:
        """Closes for orders; heartbeats may go on."""
        self._emit = None

    @property
    def is_caretaking(self) -> bool:
        """Whether heartbeats go on after the role's lease ran out."""
        tenure = self._tenure
        if tenure is None or tenure.is_superseded:
            return False
        return not tenure.is_held()

    def supersede(self, reason: str) -> None:
        """Ends orders and heartbeats, as a newer holder showed itself."""
        if self._tenure is not None:
            self._tenure.supersede(reason)

    async def wait_until_superseded(self) -> None:
        """Waits until a newer holder shows itself."""
        if self._tenure is not None:
            await self._tenure.wait_until_superseded()

    def heartbeat_epoch(self) -> Epoch | None:
        """Returns the epoch of heartbeats, None when there are to be none."""
        if self._tenure is None or self._tenure.is_superseded:
            return None
        return self._tenure.epoch

    def may_order(self, epoch: Epoch) -> bool:
        """Whether orders of an epoch may be sent right now."""
        return (
            self._emit is not None
            and self._tenure is not None
            and self._tenure.epoch == epoch
            and self._tenure.is_held()
        )

    def emit(self, event: WorkerEvent) -> None:
        """Hands an answer to the scheduler, if there is one."""
        if self._emit is not None:
            self._emit(event)
