"""Takes machines down for upkeep, wave by wave, for the leading scheduler."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Err, Ok

from pomeloarch_core.batch.messages import (
    Event,
    UpkeepOrdered,
    UpkeepRefused,
    WorkersShuttingDown,
    WorkerTakenDown,
)
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

# How often waves are checked, in seconds; a machine is down for about two.
CHECK_INTERVAL_S = 0.5
# Number of machines that get no new tasks before their turn, for each machine
# of a wave that may be down at once.
ANNOUNCED_PER_DOWN_MACHINE = 2
_MAY_HAVE_TAKEN_DOWN = (UpkeepOutcome.DONE, UpkeepOutcome.NO_ANSWER)


class WaveSource:
    """Provides the requested waves and the row that reports a wave's state.

    Args:
      read: returns the waves that the operator requested.
      status: returns the row to write, given a wave's number and whether the
        wave is complete.
    """

    def __init__(
        self,
        read: Callable[[], tuple[Wave, ...]],
        status: Callable[[int, bool], Write],
    ) -> None:
        """Stores both functions."""
        self.read = read
        self.status = status


class UpkeepTask:
    """Orders the machines of each wave down in turn.

    Args:
      source: the waves.
      machines: the machine service; None where there is none.
      store: the store, where the state of waves is written.
      scheduler: knows what runs on the machines.
      emit: passes an event to the scheduler.
      tenure: the right to give orders.
      holder: this node.
      fence: the number of the scheduler's term.
      clock: returns monotonic time, in seconds.
      earliest_order_at: earliest time of an order, by `clock`, so that the last
        order of a former holder is long past.
      upkeep_s: how long a machine is down, in seconds.
      log: receives the orders.
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
        earliest_order_at: float,
        upkeep_s: float,
        log: DecisionLog,
    ) -> None:
        """Starts without any waves."""
        self._source = source
        self._machines = machines
        self._store = store
        self._scheduler = scheduler
        self._emit = emit
        self._tenure = tenure
        self._holder = holder
        self._fence = fence
        self._clock = clock
        self._earliest_order_at = earliest_order_at
        self._upkeep_s = upkeep_s
        self._log = log
        self._plans: dict[int, WavePlan] = {}
        self._written_status: dict[int, bool] = {}

    async def run(self) -> None:
        """Processes waves until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            if self._machines is None or not self._tenure.is_held():
                continue
            for wave in self._source.read():
                if wave.number not in self._plans:
                    now = self._clock()
                    plan = WavePlan(wave, now, self._upkeep_s)
                    self._plans[wave.number] = plan
            open_plans = [
                each
                for each in self._plans.values()
                if not self._is_completed(each)
            ]
            if open_plans and self._clock() >= self._earliest_order_at:
                await self._advance(open_plans, self._machines)

    async def _advance(
        self, plans: list[WavePlan], service: MachineService
    ) -> None:
        listed = await service.machines()
        if isinstance(listed, Err):
            self._log.write("machines not listed", reason=listed.err_value)
            return
        machines = {each.machine_id: each for each in listed.ok_value}
        for plan in plans:
            await self._write_status(plan)
        left = [each for each in plans if not self._is_completed(each)]
        self._announce_shutdowns(left, machines)
        for plan in left:
            await self._order_next_machines(plan, machines, service)

    def _is_completed(self, plan: WavePlan) -> bool:
        """Returns whether the row of a wave says that it is complete."""
        return self._written_status.get(plan.wave.number, False)

    def _announce_shutdowns(
        self, plans: list[WavePlan], machines: dict[MachineId, Machine]
    ) -> None:
        """Keeps new tasks off the machines whose turn comes next."""
        shutting_down: set[WorkerId] = set()
        for plan in plans:
            busy_s_by_machine = self._busy_s_by_machine(machines)
            candidates = sorted(
                (
                    each
                    for each in plan.remaining_machines()
                    if each in busy_s_by_machine
                ),
                key=lambda each: busy_s_by_machine[each],
            )
            for each in candidates[
                : ANNOUNCED_PER_DOWN_MACHINE * plan.wave.max_at_once
            ]:
                worker_id = machines[each].worker_id
                if worker_id is not None:
                    shutting_down.add(worker_id)
        self._emit(WorkersShuttingDown(frozenset(shutting_down)))

    def _busy_s_by_machine(
        self, machines: dict[MachineId, Machine]
    ) -> dict[MachineId, float]:
        return {
            machine_id: self._busy_s(each)
            for machine_id, each in machines.items()
        }

    def _busy_s(self, machine: Machine) -> float:
        """Returns the time until a machine is free, in seconds.

        It is infinite for a machine that can't be ordered down now.
        """
        worker_id = machine.worker_id
        if worker_id is None or not machine.up:
            return float("inf")
        now = self._clock()
        if not self._scheduler.can_end_tasks(worker_id, now):
            return float("inf")
        return self._scheduler.busy_s(worker_id, now)

    async def _order_next_machines(
        self,
        plan: WavePlan,
        machines: dict[MachineId, Machine],
        service: MachineService,
    ) -> None:
        """Orders machines of a wave down until the plan has none for now."""
        in_upkeep = {each for each, m in machines.items() if m.in_upkeep}
        while self._tenure.is_held():
            busy_s_by_machine = self._busy_s_by_machine(machines)
            machine = plan.next_order(
                busy_s_by_machine, self._clock(), in_upkeep
            )
            if machine is None or busy_s_by_machine[machine] == float("inf"):
                if machine is not None:
                    plan.record_outcome(
                        machine, UpkeepOutcome.BUSY, self._clock()
                    )
                return
            worker_id = machines[machine].worker_id
            if worker_id is not None:
                self._emit(UpkeepOrdered(worker_id))
            outcome = await service.upkeep(
                machine, plan.wave.number, self._holder, self._fence
            )
            plan.record_outcome(machine, outcome, self._clock())
            if worker_id is not None and outcome in _MAY_HAVE_TAKEN_DOWN:
                self._emit(WorkerTakenDown(worker_id))
            elif worker_id is not None:
                self._emit(UpkeepRefused(worker_id))
            self._log.write(
                "machine upkeep",
                wave=plan.wave.number,
                machine=machine,
                busy_s=round(busy_s_by_machine[machine], 2),
                outcome=outcome.value,
            )

    async def _write_status(self, plan: WavePlan) -> None:
        """Writes whether a wave is complete, if that has changed.

        A wave that an earlier scheduler has completed stays complete.
        """
        number, completed = plan.wave.number, plan.completed
        if self._written_status.get(number) == completed:
            return
        write = self._source.status(number, completed)
        found = await self._store.read([(write.table, write.key)])
        if isinstance(found, Err):
            return
        row = found.ok_value[0]
        for known in (completed, True):
            if row.value == self._source.status(number, known).value:
                self._written_status[number] = known
                return
        answer = await self._store.transact(
            [Check(row.table, row.key, row.version)], [write]
        )
        if isinstance(answer, Ok):
            self._written_status[number] = completed
