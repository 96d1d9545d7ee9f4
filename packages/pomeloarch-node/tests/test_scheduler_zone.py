import asyncio
import random

import msgspec
import pytest

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_core.gang.messages import JobRecord, JobSpec, OrderKind
from pomeloarch_core.objects.model import (
    AvailabilityZone,
    GuaranteedShape,
    JobClass,
    ObjectSet,
    Organisation,
    Snapshot,
    Urgency,
    WorkerPool,
)
from pomeloarch_node.job_records import CancelBatch, encode
from pomeloarch_node.worker_client import OrdersRequest
from pomeloarch_standins.fake_platform import Fault
from pomeloarch_standins.job_bench import WALL_CLOCK_S, ZoneBench
from pomeloarch_standins.virtual_time import run_virtual
from pomeloarch_standins.workers import LATE_S, FaultMode

OBJECTS = ObjectSet(
    availability_zone=(AvailabilityZone("patan", "valley"),),
    worker_pool=(WorkerPool("patan", "patan", 1, 8, 8, 128, 512),),
    organisation=(Organisation("desk"), Organisation("archive")),
    guaranteed_shape=(GuaranteedShape("g", "desk", "patan", 2, 8),),
    job_class=(
        JobClass("scan", Urgency.URGENT),
        JobClass("match", Urgency.BATCH, max_gang=16, grace_s=2.0),
    ),
)
SNAPSHOT = Snapshot(1, "p1", OBJECTS)
GANG = {
    "organisation": "archive",
    "job_class": "match",
    "members": 3,
    "accelerators": 8,
}
SCAN = {"organisation": "desk", "job_class": "scan"}
# Longest time until an urgent job starts, in seconds.
URGENT_START_S = 1.9
# Longest time until a successor has taken over, in seconds.
TAKEOVER_S = 5.0


def run(main, **options):
    async def with_bench():
        bench = ZoneBench(SNAPSHOT, ZoneScheduler.from_config, **options)
        return await main(bench)

    return run_virtual(with_bench())


async def submit(node, job, **fields):
    answer = await node.submit(**job, **fields)
    assert answer.status == 202
    return answer.json()["job_id"]


def check_invariants(bench):
    """Checks what has to be true of jobs and starts after any fault."""
    counts = bench.fleet.ledger.counts(bench.now())
    assert counts.violations == ()
    for job_id, record in bench.records().items():
        if not record["spec"]["idempotent"]:
            assert counts.starts.get(job_id, 0) <= 1
        if record["state"] == "succeeded":
            assert counts.starts.get(job_id, 0) >= 1
        if record["state"] in ("queued", "cancelled", "refused"):
            assert record["attempts"] >= counts.starts.get(job_id, 0)


def test_urgent_jobs_start_soon_and_all_members_of_gangs_run():
    async def main(bench):
        node = bench.node("n1", 1)
        await asyncio.sleep(1.0)
        other = bench.node("n2")
        ids = [await submit(other, SCAN), await submit(other, GANG)]
        took_s = await bench.wait_for("running")
        await bench.wait_for("succeeded")
        check_invariants(bench)
        counts = bench.fleet.ledger.counts(bench.now())
        return took_s, [counts.starts[i] for i in ids], node.scheduler.status()

    took_s, starts, status = run(main)
    assert took_s < URGENT_START_S
    assert starts == [1, 1]
    assert status["role"] == "holder"
    assert status["unfinished_jobs"] == 0


def test_a_job_is_found_without_any_message_between_nodes():
    async def main(bench):
        bench.node("n1", 1)
        other = bench.node("n2")
        other.peers.cut_off = True
        await asyncio.sleep(1.0)
        await submit(other, SCAN)
        return await bench.wait_for("running")

    assert run(main) < URGENT_START_S


def test_reports_do_not_grow_with_the_number_of_ended_jobs():
    async def main(bench):
        node = bench.node("n1", 1)
        await asyncio.sleep(1.0)
        for _ in range(30):
            await submit(node, GANG, command="run_s=0.2")
            await asyncio.sleep(1.0)
        await bench.wait_for("succeeded")
        await asyncio.sleep(5.0)
        check_invariants(bench)
        heartbeat = OrdersRequest(1, "n1", 0.0)
        return [
            len(worker.handle(heartbeat, bench.now()).tasks)
            for worker in bench.fleet.workers.values()
        ]

    assert run(main) == [0] * 8


def stop_at_write(state, fault):
    """Returns a function that stops the holder at the first write of a state.

    The write then has the given fault.
    """

    def arm(bench, node, stop):
        def intercept(checks, writes):
            states = {(write.value or {}).get("state") for write in writes}
            if state not in states:
                return None
            bench.platform.on_transact = None
            stop()
            return fault

        bench.platform.on_transact = intercept

    return arm


def stop_at_order(kind, number, fault):
    """Returns a function that stops the holder at a call with an order.

    Args:
      kind: the kind of the order.
      number: which call with such an order, counted from 1.
      fault: the fault of that call.
    """

    def arm(bench, node, stop):
        calls = 0

        def intercept(worker_id, req):
            nonlocal calls
            if kind not in {order.kind for order in req.orders}:
                return None
            calls += 1
            if calls < number:
                return None
            node.client.on_post = None
            stop()
            return fault

        node.client.on_post = intercept

    return arm


STEPS = {
    "before the intent is written": stop_at_write(
        "starting", Fault.LOSE_REQUEST
    ),
    "after the intent is written": stop_at_write("starting", Fault.LOSE_ANSWER),
    "while the intent is being written": stop_at_write("starting", Fault.LATE),
    "before any reservation": stop_at_order(
        OrderKind.RESERVE, 1, FaultMode.STALL
    ),
    "after one reservation": stop_at_order(
        OrderKind.RESERVE, 1, FaultMode.LOSE
    ),
    "after all reservations": stop_at_order(
        OrderKind.START, 1, FaultMode.STALL
    ),
    "after one start": stop_at_order(OrderKind.START, 1, FaultMode.LOSE),
    "before the last start": stop_at_order(OrderKind.START, 3, FaultMode.STALL),
    "after the last start": stop_at_order(OrderKind.START, 3, FaultMode.LOSE),
    "before running is written": stop_at_write("running", Fault.LOSE_REQUEST),
    "after running is written": stop_at_write("running", Fault.LOSE_ANSWER),
    "before the end is written": stop_at_write("succeeded", Fault.LOSE_REQUEST),
    "after the end is written": stop_at_write("succeeded", Fault.LOSE_ANSWER),
}


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("failure", ["dies", "pauses", "dies, late successor"])
@pytest.mark.parametrize("step", STEPS)
def test_losing_the_holder_at_any_step_neither_loses_nor_duplicates_a_job(
    step, failure, idempotent
):
    async def main(bench):
        holder = bench.node("n1", 1)
        spare = bench.node("n2")
        await asyncio.sleep(1.0)
        stopped = asyncio.Event()

        def stop():
            stopped.set()
            if failure != "pauses":
                holder.kill()

        STEPS[step](bench, holder, stop)
        await submit(spare, GANG, idempotent=idempotent, command="run_s=3")
        await asyncio.wait_for(stopped.wait(), 30.0)
        # A paused holder continues as if its lease had not expired.
        await asyncio.sleep(12.0 if failure == "dies, late successor" else 1.0)
        spare.role.set(2)
        await asyncio.sleep(TAKEOVER_S)
        assert spare.scheduler.status()["ready"]
        took_s = await bench.wait_for("succeeded", "unknown", timeout_s=60.0)
        check_invariants(bench)
        if failure == "pauses":
            assert not holder.role.released or holder.role.epoch() is None
        return bench.states()[0], took_s

    state, took_s = run(main)
    assert took_s < 45.0
    if idempotent:
        assert state == "succeeded"


@pytest.mark.parametrize("written_after_s", [0.2, 2.5, 4.0])
def test_an_older_holder_starts_no_attempt_during_a_takeover(written_after_s):
    async def main(bench):
        old = bench.node("n1", 1)
        new = bench.node("n2")
        await asyncio.sleep(1.0)
        # Only the older holder reaches the worker on which it would start the
        # job, and it learns of the newer epoch from no other worker.
        new.client.faults["patan-r1-w1"] = FaultMode.STALL
        for number in range(2, 9):
            old.client.faults[f"patan-r1-w{number}"] = FaultMode.STALL
        bench.platform.delay_s = 1.0
        takeover_at = bench.now() + 2.8
        refused_until = takeover_at + written_after_s

        def refuse_old_writes(checks, writes):
            epochs = {(write.value or {}).get("epoch") for write in writes}
            if 1 in epochs and bench.now() < refused_until:
                return Fault.REFUSE
            return None

        bench.platform.on_transact = refuse_old_writes
        await submit(old, SCAN, idempotent=False, command="run_s=60")
        await asyncio.sleep(takeover_at - bench.now())
        new.role.set(2)
        await bench.wait_for("running", "unknown", timeout_s=60.0)
        await asyncio.sleep(30.0)
        check_invariants(bench)
        return bench.fleet.ledger.counts(bench.now()).starts

    assert list(run(main).values()) == [1]


@pytest.mark.parametrize("fault", ["down", "silent"])
def test_a_zone_cut_off_from_the_platform_keeps_running(fault):
    async def main(bench):
        node = bench.node("n1", 1)
        await asyncio.sleep(1.0)
        long_job = await submit(node, GANG, command="run_s=90")
        done = await submit(node, SCAN, command="run_s=5")
        await bench.wait_for("running")
        setattr(bench.platform, fault, True)
        await asyncio.sleep(3.0)
        node.role.lapse()
        await asyncio.sleep(10.0)
        answers = [await node.submit(**SCAN) for _ in range(3)]
        caretaking = node.scheduler.status()["role"]
        await asyncio.sleep(17.0)
        setattr(bench.platform, fault, False)
        node.role.set(2)
        await asyncio.sleep(3.0)
        states = bench.states([long_job, done])
        await bench.wait_for("succeeded", timeout_s=60.0)
        check_invariants(bench)
        counts = bench.fleet.ledger.counts(bench.now())
        return answers, caretaking, states, counts, len(bench.records())

    answers, caretaking, states, counts, jobs = run(main)
    assert caretaking == "caretaker"
    assert states == ["running", "succeeded"]
    assert set(counts.starts.values()) == {1}
    assert [answer.status for answer in answers] == [503] * 3
    assert answers[-1].json()["outcome"] == "not_run"
    assert jobs == 2


def test_the_loss_of_a_worker_loses_no_job():
    async def main(bench):
        node = bench.node("n1", 1)
        await asyncio.sleep(1.0)
        await submit(node, GANG, command="run_s=20")
        await bench.wait_for("running")
        victim = next(iter(bench.records().values()))["placement"][0]
        node.client.faults[victim["worker_id"]] = FaultMode.STALL
        took_s = await bench.wait_for("succeeded", timeout_s=90.0)
        check_invariants(bench)
        return took_s, bench.fleet.ledger.counts(bench.now()).starts

    took_s, starts = run(main)
    assert took_s < 60.0
    assert list(starts.values()) == [2]


@pytest.mark.parametrize("is_successor", [False, True])
@pytest.mark.parametrize("hosts_per_rack", [8, 1455])
def test_job_of_an_unlisted_worker_is_started_again_after_its_lease(
    hosts_per_rack, is_successor
):
    """Guards against a second run of a job in a zone with many workers.

    The unlisted worker keeps its task until the lease runs out, which lasts
    longer the more workers there are. A successor that never saw the worker on
    the list has to wait, too, and not for ever.
    """

    async def main(bench):
        node = bench.node("n1", 1)
        await asyncio.sleep(1.0)
        job_id = await submit(node, SCAN, command="run_s=600")
        await bench.wait_for("running")
        await asyncio.sleep(20.0)
        victim = next(iter(bench.records().values()))["placement"][0]
        bench.platform.hosts = tuple(
            host
            for host in bench.platform.hosts
            if host.id != victim["worker_id"]
        )
        if is_successor:
            node.kill()
            node = bench.node("n2", 2)
        node.hosts.replace(bench.platform.hosts)
        unlisted_at = bench.now()
        while True:
            counts = bench.fleet.ledger.counts(bench.now())
            assert counts.running_gangs <= 1
            assert bench.now() < unlisted_at + 240.0
            if counts.starts[job_id] == 2:
                return
            await asyncio.sleep(0.05)

    run(main, hosts_per_rack=hosts_per_rack)


@pytest.mark.parametrize("seed", range(1, 7))
def test_restarts_under_the_same_id_violate_no_invariant(seed):
    """Guards against second runs by orders that outlast a restart.

    The workers forget all they did, and calls that got no answer are carried
    out after the restart.
    """
    rng = random.Random(seed)

    async def main(bench):
        node = bench.node("n1", 1)
        await asyncio.sleep(1.0)

        async def restart_workers():
            while True:
                worker = rng.choice(list(bench.fleet.workers.values()))
                worker_id = worker.info.worker_id
                node.client.faults[worker_id] = FaultMode.LATE
                await asyncio.sleep(rng.uniform(0.2, LATE_S))
                node.client.faults.pop(worker_id)
                worker.reboot(bench.now())
                await asyncio.sleep(rng.uniform(0.1, 1.0))

        restarts = asyncio.create_task(restart_workers())
        for _ in range(40):
            job = rng.choice([SCAN, GANG])
            seconds = rng.uniform(0.5, 4.0)
            await submit(
                node,
                job,
                command=f"run_s={seconds:.1f}",
                idempotent=rng.random() < 0.5,
            )
            await asyncio.sleep(rng.uniform(0.1, 1.5))
        restarts.cancel()
        await bench.wait_for("succeeded", "unknown", timeout_s=180.0)
        check_invariants(bench)
        return bench.states()

    assert set(run(main)) <= {"succeeded", "unknown"}


@pytest.mark.parametrize(
    ("idempotent", "late_s"),
    [(False, 0.05), (False, 4.0), (False, 6.0), (True, 4.0), (True, 6.0)],
)
def test_late_orders_after_a_restart_start_no_second_run(idempotent, late_s):
    """Guards against a second run by copies of orders that outlast a restart.

    The first copies of the reservation and of the start get no answer. The
    worker runs the task by the second ones, restarts and forgets it; then the
    first ones are carried out, before or after the scheduler has noticed.
    """

    async def main(bench):
        node = bench.node("n1", 1)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(1.0)
        lost = {}

        def lose_first(worker_id, req):
            for order in req.orders:
                if order.kind not in lost and order.kind in (
                    OrderKind.RESERVE,
                    OrderKind.START,
                ):
                    lost[order.kind] = worker_id, req
                    return FaultMode.STALL
            return None

        node.client.on_post = lose_first
        job_id = await submit(
            node, SCAN, command="run_s=60", idempotent=idempotent
        )
        await bench.wait_for("running")
        worker_id, _ = lost[OrderKind.START]
        worker = bench.fleet.workers[worker_id]
        worker.reboot(bench.now())
        await asyncio.sleep(late_s)
        for kind in (OrderKind.RESERVE, OrderKind.START):
            worker.handle(lost[kind][1], loop.time())
        await asyncio.sleep(20.0)
        check_invariants(bench)
        counts = bench.fleet.ledger.counts(bench.now())
        return counts.starts[job_id], counts.running_gangs

    assert run(main) == ((2, 1) if idempotent else (1, 0))


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_random_faults_violate_no_invariant(seed):
    rng = random.Random(seed)

    async def main(bench):
        nodes = [bench.node(f"n{number}") for number in range(3)]
        nodes[0].role.set(1)
        await asyncio.sleep(1.0)
        is_fault_free = False

        def pick_fault(checks, writes):
            if is_fault_free or rng.random() > 0.15:
                return None
            return rng.choice(list(Fault))

        def pick_call_fault(worker_id, req):
            if is_fault_free or rng.random() > 0.1:
                return None
            modes = [FaultMode.LOSE, FaultMode.STALL, FaultMode.REFUSE]
            return rng.choice(modes)

        bench.platform.on_transact = pick_fault
        for node in nodes:
            node.client.on_post = pick_call_fault
        accepted = []
        for epoch in range(2, 8):
            for _ in range(5):
                job = rng.choice([GANG, SCAN])
                answer = await rng.choice(nodes).submit(
                    **job,
                    idempotent=rng.random() < 0.5,
                    command=f"run_s={rng.uniform(1.0, 12.0):.1f}",
                )
                if answer.status == 202:
                    accepted.append(answer.json()["job_id"])
                await asyncio.sleep(rng.uniform(0.0, 2.0))
            # The older holder may continue, because nothing has informed it.
            nodes[epoch % 3].role.set(epoch)
        is_fault_free = True
        took_s = await bench.wait_for("succeeded", "unknown", timeout_s=180.0)
        check_invariants(bench)
        return took_s, bench.states(accepted)

    took_s, states = run(main)
    assert took_s < 180.0
    assert states
    assert states.count("succeeded") >= len(states) // 2


def test_a_wave_of_cancellations_does_not_delay_new_jobs():
    jobs = 10_000

    async def main(bench):
        node = bench.node("n1")
        ids = []
        for number in range(jobs):
            spec = JobSpec(
                f"patan-{number:032x}",
                "archive",
                "match",
                1,
                8,
                submitted_at=WALL_CLOCK_S,
                command="run_s=600",
            )
            ids.append(spec.job_id)
            bench.platform.put(
                "jobs/patan", spec.job_id, encode(JobRecord(spec))
            )
        node.role.set(1)
        await asyncio.sleep(5.0)
        for start in range(0, jobs, 500):
            batch = CancelBatch(tuple(ids[start : start + 500]))
            bench.platform.put(
                "job_cancels/patan", f"{start:06d}", encode(batch)
            )
        await asyncio.sleep(5.0)
        waits_s = []
        for _ in range(5):
            job_id = await submit(node, SCAN, command="run_s=1")
            waits_s.append(
                await bench.wait_for("running", "succeeded", job_ids=[job_id])
            )
            await asyncio.sleep(5.0)
        took_s = await bench.wait_for(
            "cancelled", "succeeded", timeout_s=600.0, poll_interval_s=10.0
        )
        await asyncio.sleep(5.0)
        left = bench.platform.table("job_cancels/patan")
        return waits_s, took_s, bench.platform.peak_writes_per_s, left

    waits_s, took_s, peak_writes_per_s, left = run(main)
    assert max(waits_s) < URGENT_START_S
    assert took_s < 300.0
    assert peak_writes_per_s <= 200
    assert left == {}


def test_a_flood_of_submissions_leaves_room_for_urgent_jobs_and_small_callers():
    async def main(bench):
        node = bench.node("n1", 1)
        await asyncio.sleep(1.0)
        batch = {"organisation": "archive", "job_class": "match"}
        answers = []

        async def flood():
            for _ in range(6 * 300):
                answers.append(await node.submit(**batch, caller="large"))
                await asyncio.sleep(1 / 300)

        flooding = asyncio.create_task(flood())
        small, waits_s = [], []
        for _ in range(6):
            await asyncio.sleep(0.9)
            small.append(await node.submit(**batch, caller="small"))
            job_id = await submit(node, SCAN, command="run_s=1")
            waits_s.append(
                await bench.wait_for("running", "succeeded", job_ids=[job_id])
            )
        await flooding
        return answers, small, waits_s, bench.platform.peak_writes_per_s

    answers, small, waits_s, peak_writes_per_s = run(main, writes_per_s=400)
    refused = [answer.json() for answer in answers if answer.status != 202]
    accepted = len(answers) - len(refused)
    assert {problem["outcome"] for problem in refused} == {"not_run"}
    assert {problem["reason"] for problem in refused} == {
        "too_many_submissions"
    }
    assert 300 < accepted < 500
    assert [answer.status for answer in small] == [202] * 6
    assert max(waits_s) < URGENT_START_S
    assert peak_writes_per_s <= 400


@pytest.mark.parametrize("successor_after_s", [0.5, 7.0])
def test_a_planned_stop_hands_over_without_ending_a_task(successor_after_s):
    async def main(bench):
        holder = bench.node("n1", 1)
        spare = bench.node("n2")
        await asyncio.sleep(1.0)
        await submit(spare, GANG, command="run_s=30")
        await bench.wait_for("running")

        async def stop():
            await holder.scheduler.drain()
            holder.kill()
            return bench.now()

        began = bench.now()
        stopping = asyncio.create_task(stop())
        await asyncio.sleep(successor_after_s)
        released = holder.role.released
        spare.role.set(2)
        took_s = await stopping - began
        await bench.wait_for("succeeded")
        check_invariants(bench)
        starts = bench.fleet.ledger.counts(bench.now()).starts
        return released, took_s, list(starts.values())

    released, took_s, starts = run(main)
    assert released
    assert took_s <= 4.0
    assert starts == [1]


def test_a_reclaim_checkpoints_and_resumes_the_borrower():
    async def main(bench):
        node = bench.node("n1", 1)
        await asyncio.sleep(1.0)
        borrower = await submit(
            node, {**GANG, "members": 8}, command="run_s=20"
        )
        await bench.wait_for("running")
        await asyncio.sleep(10.0)
        owner = await submit(
            node,
            {"organisation": "desk", "job_class": "match"},
            members=2,
            accelerators=8,
            command="run_s=3",
        )
        reclaim_s = await bench.wait_for("running", job_ids=[owner])
        ended_s = await bench.wait_for("succeeded")
        check_invariants(bench)
        starts = bench.fleet.ledger.counts(bench.now()).starts
        return reclaim_s, ended_s, starts[borrower]

    reclaim_s, ended_s, starts = run(main)
    assert reclaim_s < 2.0 + URGENT_START_S
    assert ended_s < 20.0
    assert starts == 2


def test_decisions_are_explained_and_alerts_are_shown():
    async def main(bench):
        node = bench.node("n1", 1)
        await asyncio.sleep(1.0)
        for number in range(1, 8):
            node.client.faults[f"patan-r1-w{number}"] = FaultMode.DOWN
        await asyncio.sleep(20.0)
        job_id = await submit(node, SCAN)
        await submit(node, {**GANG, "members": 8})
        await asyncio.sleep(2.0)
        status = node.scheduler.status()
        shown = node.metrics.render()
        reasons = node.scheduler.explain(job_id)
        node.client.faults.clear()
        await asyncio.sleep(5.0)
        trail = list(bench.platform.table("audit").values())
        return status, shown, reasons, node.metrics.render(), trail

    status, shown, reasons, later, trail = run(main)
    alert = 'scheduler_alert{kind="guarantee_short",subject="g/0"}'
    assert [a["subject"] for a in status["alerts"]] == ["g/0"]
    assert f"{alert} 1" in shown
    assert f"{alert} 0" in later
    assert reasons
    assert msgspec.json.encode(status)
    noted = [(entry["subject"], entry["why"]) for entry in trail]
    assert noted[0][0] == "scheduler/patan"
    assert "epoch 1" in noted[0][1]
    assert noted[1] == ("guarantee_short/g/0", status["alerts"][0]["reason"])
    assert noted[-1] == ("guarantee_short/g/0", "cleared")
