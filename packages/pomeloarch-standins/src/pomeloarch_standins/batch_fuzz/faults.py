"""The kinds of faults: how each is drawn and how it strikes."""

from __future__ import annotations

import asyncio
import functools
import random
from collections.abc import Awaitable, Callable

import msgspec

from pomeloarch_core.ids import NodeId, WorkerId
from pomeloarch_node.batch.records import (
    JOBS_TABLE,
    ROSTER_TABLE,
    SHARDS,
    TERMS_TABLE,
)
from pomeloarch_node.role_lease import ROLES_TABLE
from pomeloarch_standins.batch_fuzz.plan import PlannedFault, PlannedWorld
from pomeloarch_standins.batch_fuzz.stage import Stage
from pomeloarch_standins.batch_world import WorldNode

# Kinds of the whole plan, which aren't drawn with a beginning and an end:
# workers whose clocks are slow all the time, tasks that run longer than any
# lease, so few jobs that workers are idle at times, jobs of hundreds of tasks
# beside a store of small rows, and long-running tasks that fill most workers,
# beside jobs that fail once, that have data on a rack or that need advice;
# jobs that run thousands of times, most of them long after the play; and
# callers that cancel jobs without an answer to their submission, also for
# another organisation, or that submit another job under the same id.
SLOW_CLOCKS = "slow-clocks"
LONG_RUNS = "long-runs"
FEW_JOBS = "few-jobs"
WIDE_JOBS = "wide-jobs"
LASTING_JOBS = "lasting-jobs"
MANY_OCCURRENCES = "many-occurrences"
DOUBTFUL_CALLERS = "doubtful-callers"
WHOLE_PLAN = frozenset(
    {
        SLOW_CLOCKS,
        LONG_RUNS,
        FEW_JOBS,
        WIDE_JOBS,
        LASTING_JOBS,
        MANY_OCCURRENCES,
        DOUBTFUL_CALLERS,
    }
)
# Tables of which the store may refuse the writes while it accepts others.
_TABLES = (ROSTER_TABLE, ROSTER_TABLE, JOBS_TABLE, TERMS_TABLE, ROLES_TABLE)
# Share of the workers that are on the leader's side of a divided network.
_LEADERS_SIDE_SHARE = 0.4
# Probability that all workers are on that side.
_ALL_ON_LEADERS_SIDE = 0.5
# Share of the unanswered orders and writes that take effect late.
_LATE_ORDERS_SHARE = 0.8
_LATE_WRITES_SHARE = 0.5
# Share of the pairs of a node and a worker that a cut of some paths strikes.
_CUT_PATHS_SHARE = 0.35
# Time after which a worker that doesn't answer may count as silent, in seconds.
_SILENT_WITHIN_S = 2.3
# Time after which the roster shows that, in seconds.
_NOTED_WITHIN_S = 4.0
# Share of a fault's time for which it waits for its moment; the node that it
# kills is down for the rest.
_AWAIT_SHARE = 0.6
# Time from an order to start, of which another copy is answered, to the cut of
# its worker, in seconds.
_CUT_AFTER_START_S = 0.6
# Number of workers that aren't lost for good.
_MIN_WORKERS = 4

Strike = Callable[[Stage, PlannedFault], Awaitable[None]]
Draw = Callable[[random.Random, str, float, PlannedWorld], PlannedFault]


class FaultKind(msgspec.Struct, frozen=True):
    """A kind of faults.

    Attributes:
      draw: draws one from random numbers, its kind, its beginning and the
        world.
      strike: brings it about and ends it.
    """

    draw: Draw
    strike: Strike


def _draw_with(
    for_s: tuple[float, float], amount: tuple[float, float] = (0.0, 0.0)
) -> Draw:
    """Draws faults of a duration and an amount in these ranges."""

    def draw(
        rng: random.Random, kind: str, at_s: float, world: PlannedWorld
    ) -> PlannedFault:
        return PlannedFault(
            kind,
            at_s,
            round(rng.uniform(*for_s), 3),
            amount=round(rng.uniform(*amount), 4),
        )

    return draw


def _draw_on_workers(
    for_s: tuple[float, float],
    amount: tuple[float, float] = (0.0, 0.0),
    all_share: float = 0.0,
) -> Draw:
    """Draws faults of one worker, or with a given probability of all."""
    draw_rest = _draw_with(for_s, amount)

    def draw(
        rng: random.Random, kind: str, at_s: float, world: PlannedWorld
    ) -> PlannedFault:
        targets: tuple[int, ...] = (rng.randrange(world.workers),)
        if rng.random() < all_share:
            targets = tuple(range(world.workers))
        return msgspec.structs.replace(
            draw_rest(rng, kind, at_s, world), targets=targets
        )

    return draw


def _draw_on_node(for_s: tuple[float, float]) -> Draw:
    draw_rest = _draw_with(for_s)

    def draw(
        rng: random.Random, kind: str, at_s: float, world: PlannedWorld
    ) -> PlannedFault:
        return msgspec.structs.replace(
            draw_rest(rng, kind, at_s, world),
            targets=(rng.randrange(world.nodes),),
        )

    return draw


def _draw_on_paths(for_s: tuple[float, float]) -> Draw:
    """Draws faults of some pairs, or of all paths of one node."""
    draw_rest = _draw_with(for_s)

    def draw(
        rng: random.Random, kind: str, at_s: float, world: PlannedWorld
    ) -> PlannedFault:
        pairs = [
            (node, worker)
            for node in range(world.nodes)
            for worker in range(world.workers)
        ]
        if rng.random() < 0.3:
            number = rng.randrange(world.nodes)
            struck = [each for each in pairs if each[0] == number]
        else:
            struck = [p for p in pairs if rng.random() < _CUT_PATHS_SHARE]
        return msgspec.structs.replace(
            draw_rest(rng, kind, at_s, world), paths=tuple(struck)
        )

    return draw


def _draw_on_table(for_s: tuple[float, float]) -> Draw:
    draw_rest = _draw_with(for_s)

    def draw(
        rng: random.Random, kind: str, at_s: float, world: PlannedWorld
    ) -> PlannedFault:
        return msgspec.structs.replace(
            draw_rest(rng, kind, at_s, world), table=rng.choice(_TABLES)
        )

    return draw


def _draw_on_some_workers(for_s: tuple[float, float]) -> Draw:
    draw_rest = _draw_with(for_s)

    def draw(
        rng: random.Random, kind: str, at_s: float, world: PlannedWorld
    ) -> PlannedFault:
        struck = {rng.randrange(world.workers)} | {
            each
            for each in range(world.workers)
            if rng.random() < _LEADERS_SIDE_SHARE
        }
        if rng.random() < _ALL_ON_LEADERS_SIDE:
            # A worker that both sides reach would show the leader that it has
            # a successor.
            struck = set(range(world.workers))
        return msgspec.structs.replace(
            draw_rest(rng, kind, at_s, world), targets=tuple(sorted(struck))
        )

    return draw


async def _leave_orders(stage: Stage, fault: PlannedFault, late: float) -> None:
    workers = [stage.worker(number) for number in fault.targets]

    def begin() -> None:
        for each in workers:
            each.lose_share, each.late_share = fault.amount, late

    def end() -> None:
        for each in workers:
            each.lose_share = each.late_share = 0.0

    await stage.hold("orders", fault.for_s, begin, end)


async def _late_orders(stage: Stage, fault: PlannedFault) -> None:
    await _leave_orders(stage, fault, _LATE_ORDERS_SHARE)


async def _lost_orders(stage: Stage, fault: PlannedFault) -> None:
    await _leave_orders(stage, fault, 0.0)


async def _slow_answers(stage: Stage, fault: PlannedFault) -> None:
    workers = [stage.worker(number) for number in fault.targets]

    def begin() -> None:
        for each in workers:
            each.max_answer_delay_s = fault.amount

    def end() -> None:
        for each in workers:
            each.max_answer_delay_s = 0.0

    await stage.hold(f"slow {fault.targets}", fault.for_s, begin, end)


async def _cut_worker(stage: Stage, number: int, for_s: float) -> None:
    worker = stage.worker(number)

    def begin() -> None:
        worker.is_cut_off = True

    def end() -> None:
        worker.is_cut_off = False

    await stage.hold(f"cut worker {number}", for_s, begin, end)


async def _cut_workers(stage: Stage, fault: PlannedFault) -> None:
    await asyncio.gather(
        *(_cut_worker(stage, each, fault.for_s) for each in fault.targets)
    )


async def _restart(stage: Stage, fault: PlannedFault) -> None:
    (number,) = fault.targets
    before_s = fault.for_s * fault.amount
    await _go_down(stage, number, fault.kind, before_s)
    stage.world.restart_worker(stage.worker_id(number))
    await _cut_worker(stage, number, fault.for_s - before_s)


async def _replace(stage: Stage, fault: PlannedFault) -> None:
    (number,) = fault.targets
    before_s = fault.for_s * fault.amount
    await _go_down(stage, number, fault.kind, before_s)
    stage.replace_worker(number)
    await _cut_worker(stage, number, fault.for_s - before_s)
    stage.world.relist(stage.worker_id(number))


async def _go_down(stage: Stage, number: int, kind: str, for_s: float) -> None:
    """Cuts a worker off, or ends its process, for some time."""
    if kind.startswith("cut-"):
        await _cut_worker(stage, number, for_s)
    else:
        stage.world.crash_worker(stage.worker_id(number))
        await asyncio.sleep(for_s)


async def _move(stage: Stage, fault: PlannedFault) -> None:
    """Changes the address in a worker's list entry; the worker stays."""
    worker_id = stage.worker_id(fault.targets[0])
    worker = stage.world.workers[worker_id]
    worker.info = msgspec.structs.replace(
        worker.info, address=f"{worker.info.address}0"
    )
    stage.world.relist(worker_id)


async def _refuse_starts(stage: Stage, fault: PlannedFault) -> None:
    workers = [stage.worker(number) for number in fault.targets]

    def begin() -> None:
        for each in workers:
            each.refuse_share = fault.amount

    def end() -> None:
        for each in workers:
            each.refuse_share = 0.0

    await stage.hold(f"refuse {fault.targets}", fault.for_s, begin, end)


async def _unlist(stage: Stage, fault: PlannedFault) -> None:
    def begin() -> None:
        for each in fault.targets:
            stage.world.unlist(stage.worker_id(each))

    def end() -> None:
        for each in fault.targets:
            stage.world.relist(stage.worker_id(each))

    await stage.hold(f"unlist {fault.targets}", fault.for_s, begin, end)


async def _lose_worker(stage: Stage, fault: PlannedFault) -> None:
    """Loses a worker for good; its entry lapses at the end of the fault.

    Some workers are left, so that all jobs have room.
    """
    worker_id = stage.worker_id(fault.targets[0])
    if stage.count_workers() <= _MIN_WORKERS or stage.is_lost(worker_id):
        return
    stage.lose_worker(worker_id)
    await asyncio.sleep(fault.for_s)
    stage.world.unlist(worker_id)


async def _fail_tasks(stage: Stage, fault: PlannedFault) -> None:
    workers = [stage.worker(number) for number in fault.targets]

    def begin() -> None:
        for each in workers:
            each.fails_all = True

    def end() -> None:
        for each in workers:
            each.fails_all = False

    await stage.hold(f"fail {fault.targets}", fault.for_s, begin, end)


async def _strike_paths(
    stage: Stage, fault: PlannedFault, struck: set[tuple[NodeId, WorkerId]]
) -> None:
    pairs = {
        (stage.node(node).name, stage.worker_id(worker))
        for node, worker in fault.paths
    }
    added = pairs - struck
    struck |= added
    await asyncio.sleep(fault.for_s)
    struck -= added


def _paths_beside(
    stage: Stage, leader: WorldNode, workers: tuple[int, ...]
) -> set[tuple[NodeId, WorkerId]]:
    """Returns the paths from all nodes but the leader to some workers."""
    return {
        (node.name, stage.worker_id(each))
        for node in stage.world.nodes
        if node is not leader
        for each in workers
    }


async def _divide(stage: Stage, fault: PlannedFault) -> None:
    """Parts the leader and some workers from the other nodes and the store."""
    leader = stage.leader()
    pairs = _paths_beside(stage, leader, fault.targets)
    added = pairs - stage.world.cut_paths
    stage.world.cut_paths |= added
    await _cut_store(stage, fault, [leader])
    stage.world.cut_paths -= added


async def _stop_apart(stage: Stage, fault: PlannedFault) -> None:
    """Stops the leader while no other node reaches some of the workers."""
    leader = stage.leader()
    pairs = _paths_beside(stage, leader, fault.targets)
    added = pairs - stage.world.cut_paths
    stage.world.cut_paths |= added
    await asyncio.gather(
        stage.stop(leader, fault.amount), asyncio.sleep(fault.for_s)
    )
    stage.world.cut_paths -= added


async def _deafen(stage: Stage, fault: PlannedFault) -> None:
    """Loses all answers of a worker, whose orders arrive."""
    worker_id = stage.worker_id(fault.targets[0])
    pairs = {(node.name, worker_id) for node in stage.world.nodes}
    await stage.hold(
        f"deaf {worker_id}",
        fault.for_s,
        lambda: stage.world.deaf_paths.update(pairs),
        lambda: stage.world.deaf_paths.difference_update(pairs),
    )


async def _restart_deaf(stage: Stage, fault: PlannedFault) -> None:
    """Restarts a worker while none of its answers arrives.

    Its entry on the list shows the restart only after that.
    """
    worker_id = stage.worker_id(fault.targets[0])

    async def restart() -> None:
        await asyncio.sleep(fault.for_s * fault.amount)
        if worker_id in stage.world.workers:
            stage.world.restart_worker(worker_id, updates_list=False)
        await asyncio.sleep(fault.for_s * (1 - fault.amount))
        if worker_id in stage.world.workers:
            stage.world.relist(worker_id)

    await asyncio.gather(_deafen(stage, fault), restart())


async def _restart_with_kept_start(stage: Stage, fault: PlannedFault) -> None:
    """Restarts a worker behind a cut while an order to start is under way.

    The order is carried out by the new incarnation, seconds before the cut
    ends. Another copy of it is answered at once.
    """
    (number,) = fault.targets
    worker = stage.worker(number)
    kept_s = fault.for_s * fault.amount
    worker.kept_start_s = kept_s
    if not await stage.wait_until(
        lambda: worker.kept_start_s is None, fault.for_s
    ):
        worker.kept_start_s = None
        return
    await asyncio.sleep(_CUT_AFTER_START_S)
    cut = asyncio.create_task(_cut_worker(stage, number, fault.for_s))
    await asyncio.sleep((kept_s - _CUT_AFTER_START_S) / 2)
    if stage.worker_id(number) in stage.world.workers:
        stage.world.restart_worker(stage.worker_id(number))
    await cut


async def _hand_over_at_silence(stage: Stage, fault: PlannedFault) -> None:
    """Cuts a worker off; once it counts as silent, the leader stops."""
    (number,) = fault.targets

    async def stop() -> None:
        await asyncio.sleep(_SILENT_WITHIN_S + fault.amount)
        await stage.stop(stage.leader(), 0.5)

    await asyncio.gather(_cut_worker(stage, number, fault.for_s), stop())


async def _return_unnoted(stage: Stage, fault: PlannedFault) -> None:
    """Lets a silent worker return while the roster can't be written.

    The worker is cut off, answers again for some time, and is cut off once more
    when the leader stops.
    """
    (number,) = fault.targets
    refused = msgspec.structs.replace(
        fault, table=ROSTER_TABLE, for_s=fault.for_s - _NOTED_WITHIN_S
    )

    async def refuse() -> None:
        await asyncio.sleep(_NOTED_WITHIN_S)
        await _refuse_writes(stage, refused)

    async def come_and_go() -> None:
        await _cut_worker(stage, number, _NOTED_WITHIN_S)
        await asyncio.sleep(fault.amount)
        left_s = fault.for_s - _NOTED_WITHIN_S - fault.amount
        await asyncio.gather(
            stage.stop(stage.leader(), 0.5), _cut_worker(stage, number, left_s)
        )

    await asyncio.gather(refuse(), come_and_go())


async def _refuse_writes(stage: Stage, fault: PlannedFault) -> None:
    def begin() -> None:
        for node in stage.world.nodes:
            node.link.refused_tables |= {fault.table}

    def end() -> None:
        for node in stage.world.nodes:
            node.link.refused_tables -= {fault.table}

    await stage.hold(f"writes of {fault.table}", fault.for_s, begin, end)


async def _cut_paths(stage: Stage, fault: PlannedFault) -> None:
    await _strike_paths(stage, fault, stage.world.cut_paths)


async def _deaf_paths(stage: Stage, fault: PlannedFault) -> None:
    await _strike_paths(stage, fault, stage.world.deaf_paths)


async def _kill_node(stage: Stage, fault: PlannedFault) -> None:
    await stage.kill(stage.node(fault.targets[0]), fault.for_s)


async def _kill_leader(stage: Stage, fault: PlannedFault) -> None:
    await stage.kill(stage.leader(), fault.for_s)


async def _kill_at(
    stage: Stage,
    fault: PlannedFault,
    condition: Callable[[], bool],
    node: Callable[[], WorldNode],
) -> None:
    """Kills a node shortly after a condition comes about."""
    if await stage.wait_until(condition, fault.for_s * _AWAIT_SHARE):
        struck = node()
        await asyncio.sleep(fault.amount)
        await stage.kill(struck, fault.for_s * (1 - _AWAIT_SHARE))


async def _kill_at_start(stage: Stage, fault: PlannedFault) -> None:
    entries = stage.world.ledger.entries
    known = len(entries)
    await _kill_at(stage, fault, lambda: len(entries) > known, stage.leader)


async def _kill_at_end(stage: Stage, fault: PlannedFault) -> None:
    running = [e for e in stage.world.ledger.entries if e.ended_at is None]
    await _kill_at(
        stage,
        fault,
        lambda: any(each.ended_at is not None for each in running),
        stage.leader,
    )


async def _kill_at_acceptance(stage: Stage, fault: PlannedFault) -> None:
    await _kill_at(
        stage,
        fault,
        lambda: stage.accepting_node() is not None,
        lambda: stage.accepting_node() or stage.leader(),
    )


async def _stop_leader(stage: Stage, fault: PlannedFault) -> None:
    await stage.stop(stage.leader(), fault.for_s)


async def _freeze_leader(stage: Stage, fault: PlannedFault) -> None:
    await stage.freeze(stage.leader(), fault.for_s)


async def _freeze_node(stage: Stage, fault: PlannedFault) -> None:
    await stage.freeze(stage.node(fault.targets[0]), fault.for_s)


async def _lose_writes(stage: Stage, fault: PlannedFault) -> None:
    def begin() -> None:
        for node in stage.world.nodes:
            node.link.lose_share = fault.amount
            node.link.late_share = _LATE_WRITES_SHARE

    def end() -> None:
        for node in stage.world.nodes:
            node.link.lose_share = node.link.late_share = 0.0

    await stage.hold("lose writes", fault.for_s, begin, end)


def _draw_on_shards(
    for_s: tuple[float, float], amount: tuple[float, float]
) -> Draw:
    """Draws faults of some shards of the store."""
    draw_rest = _draw_with(for_s, amount)

    def draw(
        rng: random.Random, kind: str, at_s: float, world: PlannedWorld
    ) -> PlannedFault:
        struck = rng.sample(range(SHARDS), rng.randint(1, SHARDS))
        return msgspec.structs.replace(
            draw_rest(rng, kind, at_s, world), shards=tuple(sorted(struck))
        )

    return draw


async def _delay_writes(stage: Stage, fault: PlannedFault) -> None:
    """Leaves the writes of some shards unanswered; they take effect late."""

    def begin() -> None:
        for node in stage.world.nodes:
            node.link.late_shards = frozenset(fault.shards)
            node.link.late_by_s = fault.amount

    def end() -> None:
        for node in stage.world.nodes:
            node.link.late_shards = frozenset()

    await stage.hold("late writes", fault.for_s, begin, end)


async def _lose_reads(stage: Stage, fault: PlannedFault) -> None:
    def begin() -> None:
        for node in stage.world.nodes:
            node.link.lose_reads_share = fault.amount

    def end() -> None:
        for node in stage.world.nodes:
            node.link.lose_reads_share = 0.0

    await stage.hold("lose reads", fault.for_s, begin, end)


async def _slow_store(stage: Stage, fault: PlannedFault) -> None:
    def begin() -> None:
        for node in stage.world.nodes:
            node.link.slow_factor = fault.amount

    def end() -> None:
        for node in stage.world.nodes:
            node.link.slow_factor = 1.0

    await stage.hold("slow store", fault.for_s, begin, end)


async def _cut_store(
    stage: Stage, fault: PlannedFault, nodes: list[WorldNode]
) -> None:
    def set_reachable(node: WorldNode, reachable: bool) -> None:
        node.link.reachable = reachable

    await asyncio.gather(
        *(
            stage.hold(
                f"store of {node.name}",
                fault.for_s,
                functools.partial(set_reachable, node, False),
                functools.partial(set_reachable, node, True),
            )
            for node in nodes
        )
    )


async def _cut_leader_from_store(stage: Stage, fault: PlannedFault) -> None:
    await _cut_store(stage, fault, [stage.leader()])


async def _cut_all_from_store(stage: Stage, fault: PlannedFault) -> None:
    await _cut_store(stage, fault, stage.world.nodes)


async def _drop_history(stage: Stage, fault: PlannedFault) -> None:
    stage.world.tables.compact()


async def _nothing(stage: Stage, fault: PlannedFault) -> None:
    return


KINDS: dict[str, FaultKind] = {
    "late-orders": FaultKind(
        _draw_on_workers((1.0, 5.0), (0.1, 0.5), 0.7), _late_orders
    ),
    "lost-orders": FaultKind(
        _draw_on_workers((1.0, 5.0), (0.1, 0.5), 0.7), _lost_orders
    ),
    "slow-answers": FaultKind(
        _draw_on_workers((1.0, 8.0), (0.02, 0.65), 0.5), _slow_answers
    ),
    "restart": FaultKind(_draw_on_workers((0.0, 6.0), (0.0, 1.0)), _restart),
    "replace": FaultKind(_draw_on_workers((0.0, 6.0), (0.0, 1.0)), _replace),
    "cut-restart": FaultKind(
        _draw_on_workers((0.0, 6.0), (0.0, 1.0)), _restart
    ),
    "cut-replace": FaultKind(
        _draw_on_workers((0.0, 6.0), (0.0, 1.0)), _replace
    ),
    "move": FaultKind(_draw_on_workers((0.0, 0.0)), _move),
    "refusals": FaultKind(
        _draw_on_workers((0.5, 5.0), (0.2, 1.0), 0.5), _refuse_starts
    ),
    "unlist": FaultKind(_draw_on_workers((0.1, 8.0), (0.0, 0.0), 0.2), _unlist),
    "lose-worker": FaultKind(_draw_on_workers((3.0, 5.0)), _lose_worker),
    "failing-worker": FaultKind(_draw_on_workers((0.5, 4.0)), _fail_tasks),
    "cut-worker": FaultKind(
        _draw_on_workers((0.5, 9.0), (0.0, 0.0), 0.1), _cut_workers
    ),
    "cut-paths": FaultKind(_draw_on_paths((0.5, 8.0)), _cut_paths),
    "deaf-paths": FaultKind(_draw_on_paths((0.5, 8.0)), _deaf_paths),
    "divide": FaultKind(_draw_on_some_workers((2.0, 13.0)), _divide),
    "stop-apart": FaultKind(_draw_on_some_workers((2.0, 13.0)), _stop_apart),
    "deaf-worker": FaultKind(_draw_on_workers((2.0, 13.0)), _deafen),
    "deaf-restart": FaultKind(
        _draw_on_workers((0.5, 5.0), (0.0, 0.6)), _restart_deaf
    ),
    "kept-start": FaultKind(
        _draw_on_workers((7.0, 12.0), (0.4, 0.9)), _restart_with_kept_start
    ),
    "hand-over": FaultKind(
        _draw_on_workers((3.0, 9.0), (0.0, 1.5)), _hand_over_at_silence
    ),
    "return": FaultKind(
        _draw_on_workers((8.0, 13.0), (0.8, 3.0)), _return_unnoted
    ),
    SLOW_CLOCKS: FaultKind(_draw_with((0.0, 0.0)), _nothing),
    LONG_RUNS: FaultKind(_draw_with((0.0, 0.0)), _nothing),
    FEW_JOBS: FaultKind(_draw_with((0.0, 0.0)), _nothing),
    WIDE_JOBS: FaultKind(_draw_with((0.0, 0.0)), _nothing),
    LASTING_JOBS: FaultKind(_draw_with((0.0, 0.0)), _nothing),
    MANY_OCCURRENCES: FaultKind(_draw_with((0.0, 0.0)), _nothing),
    DOUBTFUL_CALLERS: FaultKind(_draw_with((0.0, 0.0)), _nothing),
    "kill-node": FaultKind(_draw_on_node((0.05, 4.0)), _kill_node),
    "kill-leader": FaultKind(_draw_with((0.05, 4.0)), _kill_leader),
    "kill-at-start": FaultKind(
        _draw_with((1.0, 5.0), (0.0, 0.03)), _kill_at_start
    ),
    "kill-at-end": FaultKind(_draw_with((1.0, 5.0), (0.0, 0.05)), _kill_at_end),
    "kill-at-acceptance": FaultKind(
        _draw_with((1.0, 5.0), (0.0, 0.02)), _kill_at_acceptance
    ),
    "stop-leader": FaultKind(_draw_with((0.1, 1.0)), _stop_leader),
    "freeze-leader": FaultKind(_draw_with((0.2, 9.0)), _freeze_leader),
    "freeze-node": FaultKind(_draw_on_node((0.2, 9.0)), _freeze_node),
    "store-writes": FaultKind(_draw_with((1.0, 6.0), (0.1, 0.5)), _lose_writes),
    "late-writes": FaultKind(
        _draw_on_shards((1.0, 4.0), (1.0, 6.0)), _delay_writes
    ),
    "store-reads": FaultKind(_draw_with((1.0, 6.0), (0.1, 0.5)), _lose_reads),
    "store-slow": FaultKind(_draw_with((1.0, 5.0), (10.0, 60.0)), _slow_store),
    "store-cut-leader": FaultKind(
        _draw_with((0.5, 7.0)), _cut_leader_from_store
    ),
    "store-cut": FaultKind(_draw_with((0.5, 6.0)), _cut_all_from_store),
    "store-part": FaultKind(_draw_on_table((0.5, 5.0)), _refuse_writes),
    "store-history": FaultKind(_draw_with((0.0, 0.0)), _drop_history),
}
