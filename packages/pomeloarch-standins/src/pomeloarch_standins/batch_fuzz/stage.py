"""The simulation as faults and jobs act on it, by numbers instead of names."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import Any

from pomeloarch_core.batch.model import Resources
from pomeloarch_core.ids import NodeId, WorkerId
from pomeloarch_node.batch.intake import Outcome
from pomeloarch_standins.batch_fuzz.plan import (
    MAX_ATTEMPTS,
    Plan,
    PlannedCall,
    PlannedJob,
)
from pomeloarch_standins.batch_workers import WorkerModel
from pomeloarch_standins.batch_world import BatchWorld, WorldNode

# Pause of a caller between two attempts to submit or to cancel a job, in
# seconds.
_RETRY_PAUSE_S = 0.5
# Outcomes after which a caller tries again.
_INDEFINITE = frozenset({Outcome.NOT_DONE, Outcome.UNKNOWN, Outcome.TOO_MANY})
# The rate of a slow worker's clock; the platform allows for this much.
SLOW_CLOCK_RATE = 0.98
# How often a condition that a fault waits for is checked, in seconds.
_CHECK_INTERVAL_S = 0.001


class Stage:
    """A running simulation of a plan.

    Attributes:
      world: the simulation.
      most_groups: the largest number of groups that a leader had in memory.

    Args:
      plan: the plan.
      log_path: the file to which the nodes' decisions are written.
    """

    def __init__(self, plan: Plan, log_path: str) -> None:
        """Builds the simulation without running it."""
        wanted = plan.world
        self.world = BatchWorld(
            wanted.seed,
            wanted.nodes,
            wanted.workers,
            log_path,
            wanted.row_bytes,
        )
        self._worker_ids = list(self.world.workers)
        self.most_groups = 0
        self._held: Counter[str] = Counter()
        self._busy: set[NodeId] = set()
        self._lost: set[WorkerId] = set()
        self._calls: dict[NodeId, set[asyncio.Task[Outcome]]] = {
            node.name: set() for node in self.world.nodes
        }
        for number in wanted.slow_clocks:
            self.worker(number).clock_rate = SLOW_CLOCK_RATE
        for worker in self.world.workers.values():
            worker.checks_room = wanted.checks_room
            worker.answers_listed_ends = wanted.answers_listed_ends
        for job in plan.jobs:
            if job.fails:
                self.world.failing_jobs.add(job.job_id)
            if job.fails_once_after_s:
                self.world.failing_once.update(
                    dict.fromkeys(job.tasks(), job.fails_once_after_s)
                )

    def worker_id(self, number: int) -> WorkerId:
        """Returns the present id of a worker."""
        return self._worker_ids[number]

    def worker(self, number: int) -> WorkerModel:
        """Returns a worker."""
        return self.world.workers[self._worker_ids[number]]

    def replace_worker(self, number: int) -> None:
        """Restarts a worker under a new id, which is not listed yet."""
        self._worker_ids[number] = self.world.replace_worker(
            self._worker_ids[number]
        )

    def lose_worker(self, worker_id: WorkerId) -> None:
        """Ends a worker for good; calls to it get no answer."""
        self._lost.add(worker_id)
        self.world.crash_worker(worker_id)
        self.world.workers[worker_id].is_cut_off = True

    def is_lost(self, worker_id: WorkerId) -> bool:
        """Returns whether a worker has ended for good."""
        return worker_id in self._lost

    def count_workers(self) -> int:
        """Returns the number of workers that have not ended for good."""
        return len(self._worker_ids) - len(self._lost)

    def capacities(self) -> dict[str, Resources]:
        """Returns the capacity of each worker that has not ended for good."""
        return {
            str(each): worker.info.capacity
            for each, worker in self.world.workers.items()
            if each not in self._lost
        }

    def node(self, number: int) -> WorldNode:
        """Returns a node."""
        return self.world.nodes[number]

    def leader(self) -> WorldNode:
        """Returns the node that holds the scheduler's role, else the first."""
        nodes = self.world.nodes
        return next((each for each in nodes if each.is_leader), nodes[0])

    def weigh_leader(self) -> None:
        """Takes in how many groups the present leader has in memory."""
        count = self.leader().leader.group_count
        self.most_groups = max(self.most_groups, count)

    def is_up(self, node: WorldNode) -> bool:
        """Returns whether a node runs and no fault changes that."""
        return node.name not in self._busy

    async def hold(
        self,
        name: str,
        for_s: float,
        begin: Callable[[], None],
        end: Callable[[], None],
    ) -> None:
        """Keeps a condition up; it ends with the last fault that holds it.

        Args:
          name: the name of the condition.
          for_s: how long this fault holds it, in seconds.
          begin: brings it about.
          end: ends it.
        """
        self._held[name] += 1
        begin()
        await asyncio.sleep(for_s)
        self._held[name] -= 1
        if not self._held[name]:
            end()

    async def wait_until(
        self, condition: Callable[[], bool], within_s: float
    ) -> bool:
        """Waits for a condition; returns whether it came about in time."""
        until = self.world.clock() + within_s
        while not condition():
            if self.world.clock() >= until:
                return False
            await asyncio.sleep(_CHECK_INTERVAL_S)
        return True

    async def kill(self, node: WorldNode, for_s: float) -> None:
        """Kills a node, with the calls that it serves, and restarts it."""
        if not self._take(node):
            return
        for call in self._calls[node.name]:
            call.cancel()
        await node.kill()
        await asyncio.sleep(for_s)
        node.start()
        self._busy.discard(node.name)

    async def stop(self, node: WorldNode, for_s: float) -> None:
        """Stops a node as planned and restarts it."""
        if not self._take(node):
            return
        await node.stop()
        await asyncio.sleep(for_s)
        node.start()
        self._busy.discard(node.name)

    async def freeze(self, node: WorldNode, for_s: float) -> None:
        """Halts the process of a node for some time."""
        if not self._take(node):
            return
        node.freeze()
        await asyncio.sleep(for_s)
        node.thaw()
        self._busy.discard(node.name)

    def _take(self, node: WorldNode) -> bool:
        if node.name in self._busy:
            return False
        self._busy.add(node.name)
        return True

    def accepting_node(self) -> WorldNode | None:
        """Returns a node that is about to accept a job, None without one."""
        return next((n for n in self.world.nodes if self._calls[n.name]), None)

    async def submit(self, planned: PlannedJob) -> None:
        """Submits a job, if need be at several nodes, and may cancel it."""
        job = planned.job(self.world.clock())
        outcome = await self._call_nodes(
            planned.node,
            lambda node: self.world.submit(job, node),
            planned.attempts,
        )
        if outcome is Outcome.DONE and planned.cancel_after_s is not None:
            await asyncio.sleep(planned.cancel_after_s)
            await self.cancel(planned)

    async def cancel(self, planned: PlannedJob) -> None:
        """Cancels a job, if need be at several nodes."""
        await self._call_nodes(
            planned.node,
            lambda node: self.world.cancel(planned.job_id, node),
        )

    async def make_call(
        self, planned: PlannedJob, call: PlannedCall, cancels: bool
    ) -> None:
        """Cancels a job, or submits another one under its id."""
        owner = call.organisation

        async def call_node(node: WorldNode) -> Outcome:
            if cancels:
                return await self.world.cancel(planned.job_id, node, owner)
            job = planned.job(self.world.clock(), owner)
            return await self.world.submit(job, node)

        await self._call_nodes(call.node, call_node, call.attempts)

    async def _call_nodes(
        self,
        first: int,
        call: Callable[[WorldNode], Coroutine[Any, Any, Outcome]],
        attempts: int = MAX_ATTEMPTS,
    ) -> Outcome | None:
        """Makes a call at one node after the other until it has an answer."""
        nodes = self.world.nodes
        for attempt in range(attempts):
            node = nodes[(first + attempt) % len(nodes)]
            if self.is_up(node):
                outcome = await self._call_node(node, call(node))
                if outcome is not None and outcome not in _INDEFINITE:
                    return outcome
            await asyncio.sleep(_RETRY_PAUSE_S)
        return None

    async def _call_node(
        self, node: WorldNode, call: Coroutine[Any, Any, Outcome]
    ) -> Outcome | None:
        """Returns the answer to a call, None if the node is killed first."""
        task = asyncio.create_task(call)
        self._calls[node.name].add(task)
        await asyncio.wait([task])
        self._calls[node.name].discard(task)
        return None if task.cancelled() else task.result()
