"""Tests of the upkeep of machines when the leader changes, in virtual time."""

import asyncio
import random

import pytest
from result import Ok

from pomeloarch_core.batch.messages import (
    UpkeepOrdered,
    UpkeepRefused,
    WorkersShuttingDown,
    WorkerTakenDown,
)
from pomeloarch_core.batch.upkeep import MachineId, UpkeepOutcome, Wave
from pomeloarch_core.ids import Epoch, NodeId, WorkerId
from pomeloarch_node.batch.ports import Machine
from pomeloarch_node.batch.upkeep_task import UpkeepTask, WaveSource
from pomeloarch_node.platform import Write
from pomeloarch_standins.batch_store import FeedTables, StoreLink
from pomeloarch_standins.virtual_time import run_virtual

UPKEEP_S = 2.0
# Earliest order of a leader after the beginning of its term, in seconds.
HANDOVER_S = 3.5
WAVE = Wave(1, (MachineId("m1"), MachineId("m2"), MachineId("m3")), 60.0, 1)


class Machines:
    """A machine service that records how many machines are down at once.

    Attributes:
      max_down: the maximum number of machines that were down at a time.
      outcome: the answer to orders.
      answer_delay_s: how long an order takes to be answered, in seconds.

    Args:
      upkeep_s: how long a machine is down, in seconds.
    """

    def __init__(self, upkeep_s):
        self.max_down = 0
        self.outcome = UpkeepOutcome.DONE
        self.answer_delay_s = 0.0
        self._upkeep_s = upkeep_s
        self._down_until = {}
        self._done = set()

    def _is_down(self, machine):
        now = asyncio.get_running_loop().time()
        return self._down_until.get(machine, 0.0) > now

    async def machines(self):
        found = []
        for each in WAVE.machines:
            down = self._is_down(each)
            worker_id = None if down else WorkerId(f"w-{each}")
            found.append(Machine(each, worker_id, not down, in_upkeep=down))
        return Ok(tuple(found))

    async def upkeep(self, machine, wave, holder, fence):
        if machine not in self._done:
            self._done.add(machine)
            now = asyncio.get_running_loop().time()
            self._down_until[machine] = now + self._upkeep_s
            down = sum(map(self._is_down, WAVE.machines))
            self.max_down = max(self.max_down, down)
        await asyncio.sleep(self.answer_delay_s)
        return self.outcome


class Tenure:
    """A tenure that is not lost."""

    def is_held(self):
        return True

    def is_sole_holder(self):
        return True


class Scheduler:
    """Knows no tasks on any worker."""

    def can_end_tasks(self, worker_id, now):
        return True

    def busy_s(self, worker_id, now):
        return 0.0


# The former leader acts until its lease ends, some 2 s after the role was
# claimed, and its last order may take 1.5 s.
@pytest.mark.parametrize("last_order_s", [0.0, 1.0, 2.5, 3.4])
def test_successor_counts_machines_that_its_predecessor_took_down(last_order_s):
    """Guards against more machines down at once than a wave allows."""
    scenario = play_handover(last_order_s, UPKEEP_S)
    assert run_virtual(scenario) == (1, 3)


@pytest.mark.parametrize("upkeep_s", [2.0, 2.7, 5.0])
def test_machine_that_is_down_for_longer_than_expected_counts_as_down(upkeep_s):
    """Guards against the same where the upkeep of a machine takes long."""
    assert run_virtual(play_handover(0.0, upkeep_s)) == (1, 3)


@pytest.mark.parametrize("completed", [False, True])
def test_successor_leaves_a_completed_wave_as_it_is(completed):
    """Guards against a wave that is begun anew at each change of leader.

    Its state went back to running, and workers whose machines have long had
    their upkeep got no tasks until all orders had been repeated.
    """
    events = []

    async def scenario():
        machines = Machines(UPKEEP_S)
        tables = FeedTables()
        row = Write("status", "1", {"done": completed})
        await StoreLink(tables, random.Random(2)).transact([], [row])
        running = start_successor(machines, tables, events.append)
        states = []
        for _ in range(100):
            await asyncio.sleep(0.1)
            states.append(tables.read("status", "1").value["done"])
        running.cancel()
        return len(machines._done), states

    done, states = run_virtual(scenario())
    shutting_down = {
        worker_id
        for each in events
        if isinstance(each, WorkersShuttingDown)
        for worker_id in each.worker_ids
    }
    assert all(states) == completed
    assert bool(done) == bool(shutting_down) == (not completed)


@pytest.mark.parametrize("outcome", UpkeepOutcome)
def test_scheduler_is_told_of_an_upkeep_order_before_its_answer(outcome):
    """Guards against tasks that count as at work while they are ended."""
    events = []

    async def scenario():
        machines = Machines(UPKEEP_S)
        machines.outcome, machines.answer_delay_s = outcome, 1.25
        running = start_successor(machines, FeedTables(), events.append)
        await asyncio.sleep(HANDOVER_S + 1.0)
        before = [type(each) for each in events if "m1" in str(each)]
        await asyncio.sleep(1.3)
        running.cancel()
        return before

    before = run_virtual(scenario())
    assert before[-1] is UpkeepOrdered
    told = [e for e in events if not isinstance(e, WorkersShuttingDown)]
    refused = outcome in (UpkeepOutcome.BUSY, UpkeepOutcome.NOT_OF_WAVE)
    answer = UpkeepRefused if refused else WorkerTakenDown
    assert told[:2] == [
        UpkeepOrdered(WorkerId("w-m1")),
        answer(WorkerId("w-m1")),
    ]


@pytest.mark.parametrize("outcome", UpkeepOutcome)
def test_scheduler_is_told_at_once_that_a_worker_may_have_ended(outcome):
    """Guards against a second machine whose upkeep ends too many tasks.

    The scheduler decides about it before it notices that the first has gone.
    """
    events = []

    async def scenario():
        machines = Machines(UPKEEP_S)
        machines.outcome = outcome
        running = start_successor(machines, FeedTables(), events.append)
        await asyncio.sleep(HANDOVER_S + 1.0)
        running.cancel()

    run_virtual(scenario())
    told = [e.worker_id for e in events if isinstance(e, WorkerTakenDown)]
    expected = outcome in (UpkeepOutcome.DONE, UpkeepOutcome.NO_ANSWER)
    assert told == (["w-m1"] if expected else [])


async def play_handover(last_order_s, upkeep_s):
    """Has a successor process a wave that its predecessor has begun.

    Args:
      last_order_s: when the predecessor's only order arrives, in seconds after
        the successor's term began.
      upkeep_s: how long machines are down, in seconds.

    Returns:
      The maximum number of machines that were down at a time, and the number
      of those that had their upkeep.
    """
    machines = Machines(upkeep_s)
    running = start_successor(machines, FeedTables(), lambda event: None)
    await asyncio.sleep(last_order_s)
    await machines.upkeep(WAVE.machines[0], 1, NodeId("former"), Epoch(256))
    await asyncio.sleep(30.0)
    running.cancel()
    return machines.max_down, len(machines._done)


def start_successor(machines, tables, emit):
    """Starts the upkeep task of a leader whose term begins now."""
    loop = asyncio.get_running_loop()
    source = WaveSource(
        lambda: (WAVE,),
        lambda number, done: Write("status", str(number), {"done": done}),
    )
    task = UpkeepTask(
        source,
        machines,
        StoreLink(tables, random.Random(1)),
        Scheduler(),
        emit,
        Tenure(),
        NodeId("n"),
        Epoch(512),
        loop.time,
        loop.time() + HANDOVER_S,
        UPKEEP_S,
        Log(),
    )
    return asyncio.create_task(task.run())


class Log:
    """Drops all events."""

    def write(self, event, **fields):
        pass
