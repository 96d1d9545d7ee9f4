"""Carries waves of upkeep out for the leading scheduler."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok

from pomeloarch_core.batch.messages import Event, WorkersShuttingDown
from pomeloarch_core.batch.scheduler import BatchScheduler
from pomeloarch_core.batch.upkeep import (
    MachineId,
    UpkeepOutcome,
    Wave,
    WavePlan,
)
from pomeloarch_core.ids import Epoch, NodeId, WorkerId
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.ports import FeedStore, Machine, MachineService
from pomeloarch_node.platform import Check, Write
from pomeloarch_node.scheduler_tenure import Tenure

# How often a wave is looked at, in seconds; a machine is down for about two.
LOOK_EVERY_S = 0.5
# Machines that get nothing new before their turn, for each that may be down.
CLOSING_AHEAD = 2


class WaveSource:
    """Where waves come from and where their state is written.

    Args:
      read: returns the waves that the operator asked for.
      status: returns the row that says how far a wave is.
    """

    def __init__(
        self,
        read: Callable[[], tuple[Wave, ...]],
        status: Callable[[int, bool], Write],
    ) -> None:
        """Keeps both."""
        self.read = read
        self.status = status


class UpkeepTask:
    """Orders machines down in turn.

    Args:
      source: the waves.
      machines: the machine service; None where there is none.
      store: where the state of waves is written.
      scheduler: knows what runs on the machines.
      emit: takes events for the scheduler.
      tenure: the right to give orders.
      holder: this node.
      fence: the number of the scheduler's term.
      clock: monotonic time, in seconds.
      begins_at: earliest time of an order, so that a former holder's last
        one is long past.
      upkeep_s: how long a machine is down, in seconds.
      log: where orders are written.
    """

    def __init__(
        self,
        source: WaveSource,
        machines: MachineService | None,
        store: FeedStore,
        scheduler: BatchScheduler,
        emit: Callable[[Event], None],
        tenure: Tenure,
        holder: NodeId,
        fence: Epoch,
        clock: Callable[[], float],
        begins_at: float,
        upkeep_s: float,
        log: DecisionLog,
    ) -> None:
        """Starts without waves."""
        self._source = source
        self._machines = machines
        self._store = store
        self._scheduler = scheduler
        self._emit = emit
        self._tenure = tenure
        self._holder = holder
        self._fence = fence
        self._clock = clock
        self._begins_at = begins_at
        self._upkeep_s = upkeep_s
        self._log = log
        self._plans: dict[int, WavePlan] = {}
        self._told: dict[int, bool] = {}

    async def run(self) -> None:
        """Works on waves until it is cancelled."""
        while True:
            await asyncio.sleep(LOOK_EVERY_S)
            if self._machines is None or not self._tenure.held():
                continue
            for wave in self._source.read():
                if wave.number not in self._plans:
                    now = self._clock()
                    plan = WavePlan(wave, now, self._upkeep_s)
                    self._plans[wave.number] = plan
            open_plans = [
                each
                for number, each in self._plans.items()
                if not self._told.get(number, False)
            ]
            if open_plans and self._clock() >= self._begins_at:
                await self._work_on(open_plans, self._machines)

    async def _work_on(
        self, plans: list[WavePlan], service: MachineService
    ) -> None:
        listed = await service.machines()
        if isinstance(listed, Err):
            self._log.write("machines not listed", reason=listed.err_value)
            return
        machines = {each.machine_id: each for each in listed.ok_value}
        self._close(plans, machines)
        for plan in plans:
            await self._tell(plan)
            await self._order(plan, machines, service)

    def _close(
        self, plans: list[WavePlan], machines: dict[MachineId, Machine]
    ) -> None:
        """Has the scheduler spare the machines whose turn comes next."""
        closing: set[WorkerId] = set()
        for plan in plans:
            load = self._load(machines)
            coming = sorted(
                (each for each in plan.remaining_machines() if each in load),
                key=lambda each: load[each],
            )
            for each in coming[: CLOSING_AHEAD * plan.wave.max_at_once]:
                worker_id = machines[each].worker_id
                if worker_id is not None:
                    closing.add(worker_id)
        self._emit(WorkersShuttingDown(frozenset(closing)))

    def _load(
        self, machines: dict[MachineId, Machine]
    ) -> dict[MachineId, float]:
        return {
            machine_id: self._busy_s(each)
            for machine_id, each in machines.items()
        }

    def _busy_s(self, machine: Machine) -> float:
        """Returns how long to wait for a machine; infinite for not now."""
        worker_id = machine.worker_id
        if worker_id is None or not machine.up:
            return float("inf")
        if not self._scheduler.can_end_tasks(worker_id):
            return float("inf")
        return self._scheduler.busy_s(worker_id, self._clock())

    async def _order(
        self,
        plan: WavePlan,
        machines: dict[MachineId, Machine],
        service: MachineService,
    ) -> None:
        while self._tenure.held():
            load = self._load(machines)
            machine = plan.next_order(load, self._clock())
            if machine is None or load[machine] == float("inf"):
                if machine is not None:
                    plan.record_outcome(
                        machine, UpkeepOutcome.BUSY, self._clock()
                    )
                return
            outcome = await service.upkeep(
                machine, plan.wave.number, self._holder, self._fence
            )
            plan.record_outcome(machine, outcome, self._clock())
            self._log.write(
                "machine upkeep",
                wave=plan.wave.number,
                machine=machine,
                busy_s=round(load[machine], 2),
                outcome=outcome.value,
            )

    async def _tell(self, plan: WavePlan) -> None:
        """Writes how far a wave is, when that has changed."""
        number, completed = plan.wave.number, plan.completed
        if self._told.get(number) == completed:
            return
        write = self._source.status(number, completed)
        found = await self._store.read([(write.table, write.key)])
        if isinstance(found, Err):
            return
        row = found.ok_value[0]
        if row.value == write.value:
            self._told[number] = completed
            return
        answer = await self._store.transact(
            [Check(row.table, row.key, row.version)], [write]
        )
        if isinstance(answer, Ok):
            self._told[number] = completed
