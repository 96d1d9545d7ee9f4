"""Gang scheduling under guarantees: fleet, queue, placement, preemption."""

from pomeloarch_core.gang.scheduler import ZoneScheduler
from pomeloarch_core.gang.status import GuaranteePlace, SchedulerStatus

__all__ = ["GuaranteePlace", "SchedulerStatus", "ZoneScheduler"]
