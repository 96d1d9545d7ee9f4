import random

import msgspec
import pytest

from pomeloarch_core.gang.messages import (
    OrderKind,
    OrderOutcome,
    TaskState,
    WorkerInfo,
    WorkerOrder,
)
from pomeloarch_node.worker_client import OrdersRequest
from pomeloarch_standins.worker_fleet import WorkerFleet, worker_hosts
from pomeloarch_standins.worker_ledger import GangLedger
from pomeloarch_standins.worker_state import SimulatedWorker

LEASE_S = 6.0


def order(kind, attempt="a", member=0, **fields):
    return WorkerOrder(
        worker_id="w",
        kind=kind,
        epoch=1,
        job_id="job",
        attempt=attempt,
        member=member,
        **fields,
    )


def reserve(attempt="a", member=0, accelerators=(0,), memory_gb=1.0):
    return order(
        OrderKind.RESERVE,
        attempt,
        member,
        accelerators=accelerators,
        memory_gb=memory_gb,
    )


def start(attempt="a", member=0, command="run_s=2", checkpoint=None):
    return order(
        OrderKind.START,
        attempt,
        member,
        command=command,
        checkpoint=checkpoint,
    )


@pytest.fixture
def ledger():
    return GangLedger(partial_limit_s=LEASE_S)


@pytest.fixture
def worker(ledger):
    info = WorkerInfo("w", "patan", "pool", "r1", 8, 512.0)
    return SimulatedWorker(info, 2.0, random.Random(1), ledger)


def send(worker, *orders, now=0.0, epoch=1, lease_s=LEASE_S):
    return worker.handle(OrdersRequest(epoch, "node", lease_s, orders), now)


def states(answer):
    return [task.state for task in answer.tasks]


def test_a_task_runs_for_its_time(worker):
    assert states(send(worker, reserve(), start())) == [TaskState.RUNNING]
    assert states(send(worker, now=1.9)) == [TaskState.RUNNING]
    assert states(send(worker, now=2.0)) == [TaskState.SUCCEEDED]


def test_an_epoch_below_the_highest_is_refused(worker):
    send(worker, epoch=3)
    assert send(worker, reserve(), epoch=2) is None
    assert states(send(worker, epoch=3)) == []


@pytest.mark.parametrize("after", [(), (OrderKind.STOP,), (OrderKind.RELEASE,)])
def test_a_member_is_started_at_most_once(worker, ledger, after):
    send(worker, reserve(), start(command="run_s=1"))
    for kind in after:
        send(worker, order(kind))
    for now in (0.5, 2.0):
        send(worker, reserve(), start(command="run_s=1"), now=now)
    counts = ledger.counts(2.0)
    assert counts.member_starts == {"a": 1}
    assert counts.violations == ()


@pytest.mark.parametrize(
    ("wanted", "granted"),
    [
        (reserve("b", accelerators=(0,)), False),
        (reserve("b", accelerators=(8,)), False),
        (reserve("b", accelerators=(1,), memory_gb=512.0), False),
        (reserve("b", accelerators=(1,)), True),
    ],
)
def test_only_free_accelerators_and_memory_are_reserved(
    worker, wanted, granted
):
    send(worker, reserve())
    result = send(worker, wanted).results[0]
    assert (result.outcome is OrderOutcome.DONE) == granted


def test_a_released_attempt_cannot_be_reserved_later(worker):
    send(worker, order(OrderKind.RELEASE))
    answer = send(worker, reserve())
    assert answer.results[0].outcome is OrderOutcome.REFUSED


@pytest.mark.parametrize(
    ("lease_s", "state"),
    [(LEASE_S, TaskState.RUNNING), (0.0, TaskState.STOPPED)],
)
def test_only_a_call_with_a_lease_renews_it(worker, lease_s, state):
    send(worker, reserve(), start(command="run_s=60"))
    send(worker, now=5.0, lease_s=lease_s)
    assert states(send(worker, now=7.0)) == [state]


def test_a_resumed_task_runs_only_its_remaining_time(worker):
    send(worker, reserve(), start(command="run_s=4"))
    answer = send(worker, order(OrderKind.CHECKPOINT), now=3.0)
    checkpoint = answer.tasks[0].checkpoint
    send(worker, order(OrderKind.STOP), now=3.0)
    send(
        worker,
        reserve("b"),
        start("b", command="run_s=4", checkpoint=checkpoint),
        now=3.0,
    )
    assert states(send(worker, now=4.0))[1] is TaskState.SUCCEEDED


def test_usage_is_reported_with_a_delay(worker):
    answer = send(worker, reserve(), start(command="run_s=9 use=1.5"))
    assert answer.tasks[0].usage == 1.0
    assert send(worker, now=3.0).tasks[0].usage == 1.5
    send(worker, order(OrderKind.THROTTLE), now=3.0)
    assert send(worker, now=4.0).tasks[0].usage == 1.0


def test_a_gang_that_runs_partially_beyond_a_lease_is_reported(worker, ledger):
    send(worker, reserve(member=0), reserve(member=1, accelerators=(1,)))
    send(worker, start(member=0, command="run_s=60"))
    assert ledger.counts(1.0).partial_gangs == 1
    assert ledger.counts(5.0).violations == ()
    assert ledger.counts(6.5).violations == ("a ran in part",)


def test_rebooted_worker_remembers_neither_epochs_nor_attempts(worker, ledger):
    """Guards against restarts that bar what a real one would carry out."""
    send(worker, reserve(), start(command="run_s=60"), epoch=5)
    worker.reboot(1.0)
    assert states(send(worker, now=1.0)) == []
    answer = send(worker, reserve(), start(command="run_s=60"), now=1.0)
    assert states(answer) == [TaskState.RUNNING]
    assert ledger.counts(1.0).violations == ("a/0 started twice",)


@pytest.mark.parametrize(
    ("released", "again_at", "violations"),
    [
        (True, 1.0, ("b ran beside a",)),
        (True, 3.0, ("b started after a",)),
        (False, 3.0, ()),
    ],
)
def test_second_attempt_beside_or_after_one_that_is_done_is_reported(
    worker, ledger, released, again_at, violations
):
    """Guards against second runs that nobody sees.

    An end that its worker lost before the scheduler released it doesn't count.
    """
    send(worker, reserve(), start())
    other = reserve("b", accelerators=(1,))
    if again_at > 2.0:
        send(worker, now=2.0)
        if released:
            send(worker, order(OrderKind.RELEASE), now=2.0)
        worker.reboot(2.5)
    send(worker, other, start("b"), now=again_at)
    assert ledger.counts(again_at).violations == violations


def test_a_fleet_matches_the_membership_list():
    hosts = worker_hosts("127.0.0.1:9100", ["patan", "boudha"])
    fleet = WorkerFleet.from_hosts(hosts)
    assert len(fleet.workers) == len(hosts) == 16
    info = fleet.workers["boudha-r1-w8"].info
    assert msgspec.structs.astuple(info) == (
        "boudha-r1-w8",
        "boudha",
        "boudha",
        "boudha-r1",
        8,
        512.0,
        False,
    )
