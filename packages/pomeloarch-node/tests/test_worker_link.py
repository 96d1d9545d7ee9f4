import asyncio

import msgspec
import pytest

from pomeloarch_core.gang.messages import (
    OrderAnswered,
    OrderKind,
    OrderOutcome,
    TaskState,
    WorkerOrder,
    WorkerReported,
    WorkerUnreachable,
)
from pomeloarch_core.gang.scheduler import UNLISTED_WORKER_GRACE_S
from pomeloarch_core.ids import Epoch
from pomeloarch_node.hosts import HostDirectory
from pomeloarch_node.scheduler_tenure import Tenure
from pomeloarch_node.worker_gate import WorkerGate
from pomeloarch_node.worker_links import WorkerLinks
from pomeloarch_standins.job_fakes import FakeRole, FakeWorkerClient
from pomeloarch_standins.virtual_time import run_virtual
from pomeloarch_standins.worker_fleet import WorkerFleet, worker_hosts
from pomeloarch_standins.workers import FaultMode

WORKER = "patan-r1-w1"


class Holder:
    """A node with links to the workers of a zone."""

    def __init__(self, fleet, hosts, epoch=1):
        self.client = FakeWorkerClient(fleet)
        self.gate = WorkerGate(self.client, "n1")
        directory = HostDirectory()
        directory.replace(hosts)
        self.directory = directory
        self.links = WorkerLinks("patan", directory, self.gate)
        self.role = FakeRole()
        self.epoch = epoch
        self.events = []
        self.on_unreachable = lambda: None
        self.begin(epoch)
        self.task = asyncio.create_task(self.links.run())

    def begin(self, epoch):
        self.epoch = epoch
        self.role.set(epoch)
        self.tenure = Tenure(self.role, Epoch(epoch))
        self.gate.begin_tenure(self.tenure, self._on_event)
        self.links.reset(Epoch(epoch))

    def _on_event(self, event):
        self.events.append((asyncio.get_running_loop().time(), event))
        if isinstance(event, WorkerUnreachable):
            self.on_unreachable()

    def order(self, kind, member=0, **fields):
        order = WorkerOrder(
            worker_id=WORKER,
            kind=kind,
            epoch=self.epoch,
            job_id="job",
            attempt="a",
            member=member,
            **fields,
        )
        self.links.enqueue(order)

    def start(self, command="run_s=60"):
        self.order(OrderKind.RESERVE, accelerators=(0,), memory_gb=1.0)
        self.order(OrderKind.START, command=command)

    def events_of(self, kind):
        return [event for _, event in self.events if isinstance(event, kind)]

    def outcomes(self):
        return [event.outcome for event in self.events_of(OrderAnswered)]


def run(main):
    """Runs a test with a fleet of one worker."""

    async def with_fleet():
        hosts = worker_hosts("127.0.0.1:1", ["patan"], hosts_per_rack=1)
        fleet = WorkerFleet.from_hosts(hosts)
        return await main(fleet, hosts)

    return run_virtual(with_fleet())


def task_states(fleet):
    now = asyncio.get_running_loop().time()
    worker = fleet.workers[WORKER]
    worker.advance(now)
    return [task.state for task in worker._tasks.values()]


def test_orders_are_sent_at_once_and_in_order():
    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        holder.start()
        await asyncio.sleep(0.01)
        return holder.outcomes(), task_states(fleet)

    assert run(main) == ([OrderOutcome.DONE] * 2, [TaskState.RUNNING])


@pytest.mark.parametrize(
    ("fault", "for_s", "outcome", "starts"),
    [
        (FaultMode.LOSE, 1.0, OrderOutcome.DONE, 1),
        (FaultMode.LOSE, 30.0, OrderOutcome.UNKNOWN, 1),
        (FaultMode.STALL, 1.0, OrderOutcome.DONE, 1),
        (FaultMode.STALL, 30.0, OrderOutcome.UNKNOWN, 0),
        (FaultMode.REFUSE, 30.0, OrderOutcome.UNKNOWN, 0),
        (FaultMode.DOWN, 0.3, OrderOutcome.DONE, 1),
        (FaultMode.DOWN, 30.0, OrderOutcome.REFUSED, 0),
    ],
)
def test_the_outcome_of_an_order_claims_only_what_is_certain(
    fault, for_s, outcome, starts
):
    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        holder.client.faults[WORKER] = fault
        holder.start()
        await asyncio.sleep(for_s)
        del holder.client.faults[WORKER]
        await asyncio.sleep(20.0)
        counts = fleet.ledger.counts(0.0)
        return holder.outcomes(), counts.member_starts.get("a", 0)

    assert run(main) == ([outcome] * 2, starts)


@pytest.mark.parametrize(
    "fault",
    [FaultMode.LOSE, FaultMode.STALL, FaultMode.REFUSE, FaultMode.DOWN],
)
def test_unreachable_is_reported_once_and_only_when_no_task_runs(fault):
    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        holder.start("run_s=600")
        await asyncio.sleep(5.0)
        holder.client.faults[WORKER] = fault
        states_at_event = []
        holder.on_unreachable = lambda: states_at_event.extend(
            task_states(fleet)
        )
        await asyncio.sleep(60.0)
        after_s = next(
            at
            for at, event in holder.events
            if isinstance(event, WorkerUnreachable)
        )
        times = len(holder.events_of(WorkerUnreachable))
        del holder.client.faults[WORKER]
        holder.events.clear()
        await asyncio.sleep(3.0)
        return states_at_event, after_s, times, holder.events_of(WorkerReported)

    found, after_s, times, reports = run(main)
    assert found == [TaskState.STOPPED]
    assert after_s < 5.5 + 15.0
    assert times == 1
    assert reports[0].tasks[0].state is TaskState.STOPPED


def test_orders_of_a_paused_holder_are_refused_by_the_workers():
    async def main(fleet, hosts):
        old = Holder(fleet, hosts, epoch=1)
        await asyncio.sleep(0.5)
        new = Holder(fleet, hosts, epoch=2)
        await asyncio.sleep(0.5)
        old.start()
        await asyncio.sleep(30.0)
        return old, new, task_states(fleet)

    old, new, found = run(main)
    assert found == []
    assert old.outcomes() == []
    assert old.tenure.is_superseded
    assert new.tenure.is_held()


def test_a_holder_without_a_lease_sends_no_orders_but_renews_leases():
    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        holder.start("run_s=600")
        await asyncio.sleep(1.0)
        holder.role.lapse()
        holder.order(OrderKind.STOP)
        await asyncio.sleep(300.0)
        kept = task_states(fleet), holder.gate.is_caretaking
        Holder(fleet, hosts, epoch=2)
        await asyncio.sleep(3.0)
        calls = holder.client.calls
        await asyncio.sleep(30.0)
        return kept, holder.gate.is_caretaking, holder.client.calls - calls

    kept, caretaking, calls = run(main)
    assert kept == ([TaskState.RUNNING], True)
    assert not caretaking
    assert calls == 0


def test_a_new_epoch_receives_new_reports_from_all_workers():
    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        holder.start("run_s=600")
        await asyncio.sleep(60.0)
        holder.events.clear()
        holder.begin(2)
        holder.start("run_s=600")
        await asyncio.sleep(0.5)
        return holder.events_of(WorkerReported), fleet.workers[WORKER].epoch

    reports, epoch = run(main)
    assert reports[0].tasks[0].state is TaskState.RUNNING
    assert epoch == 2


def test_links_follow_the_list_of_hosts():
    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        holder.start()
        await asyncio.sleep(1.0)
        holder.directory.replace(())
        await asyncio.sleep(1.0)
        calls = holder.client.calls
        holder.order(OrderKind.STOP)
        await asyncio.sleep(10.0)
        assert holder.client.calls == calls
        holder.directory.replace(hosts)
        await asyncio.sleep(1.0)
        return holder.outcomes()[-1], holder.client.calls > calls

    assert run(main) == (OrderOutcome.UNKNOWN, True)


@pytest.mark.parametrize(
    ("workers", "heartbeat_s"), [(24, 1.0), (100, 1.0), (1456, 14.56)]
)
def test_heartbeats_slow_down_as_the_fleet_grows(workers, heartbeat_s):
    gate = WorkerGate(None, "n1")
    gate.adjust_heartbeats(workers)
    assert gate.heartbeat_s == heartbeat_s
    assert gate.lease_s == 6 * heartbeat_s


def test_an_answer_with_too_few_results_leaves_the_outcomes_unknown():
    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        original_post = holder.client.post

        async def post(address, req):
            answer = await original_post(address, req)
            return answer.map(lambda a: msgspec.structs.replace(a, results=()))

        holder.client.post = post
        holder.start()
        await asyncio.sleep(5.0)
        holder.client.post = original_post
        holder.order(OrderKind.STOP)
        await asyncio.sleep(5.0)
        return holder.outcomes()

    unknown = [OrderOutcome.UNKNOWN] * 2
    assert run(main) == [*unknown, OrderOutcome.DONE]


def _remove_worker(hosts):
    return tuple(host for host in hosts if host.id != WORKER)


def _remove_all(hosts):
    """Removes all workers, which makes the leases of later calls shorter."""
    return ()


def test_refused_copy_of_an_order_says_nothing_about_an_unanswered_one():
    """Guards against a second start of a job that may not be repeated.

    The worker starts the task, its answer is lost, and it restarts without
    knowing the attempt any more.
    """

    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        holder.order(OrderKind.RESERVE, accelerators=(0,), memory_gb=1.0)
        await asyncio.sleep(0.5)
        holder.client.faults[WORKER] = FaultMode.LOSE
        holder.order(OrderKind.START, command="run_s=60")
        await asyncio.sleep(1.0)
        worker = fleet.workers[WORKER]
        worker.restart(asyncio.get_running_loop().time())
        worker._tasks.clear()
        worker._reported.clear()
        del holder.client.faults[WORKER]
        await asyncio.sleep(10.0)
        starts = fleet.ledger.counts(0.0).member_starts.get("a", 0)
        return holder.outcomes()[-1], starts

    assert run(main) == (OrderOutcome.UNKNOWN, 1)


@pytest.mark.parametrize("remove", [_remove_worker, _remove_all])
@pytest.mark.parametrize("hosts_per_rack", [1, 120, 400, 1455])
def test_tasks_of_an_unlisted_worker_end_before_they_count_as_ended(
    hosts_per_rack, remove
):
    """Guards against a second run of a job in a zone with many workers.

    The more workers, the longer their leases; the time after which an unlisted
    worker's tasks are given up has to exceed them.
    """

    async def main():
        hosts = worker_hosts(
            "127.0.0.1:1", ["patan"], hosts_per_rack=hosts_per_rack
        )
        fleet = WorkerFleet.from_hosts(hosts)
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        holder.start("run_s=600")
        await asyncio.sleep(15.0)
        running = task_states(fleet)
        remaining = remove(hosts)
        holder.directory.replace(remaining)
        await asyncio.sleep(0.01)
        given_up_after_s = max(
            UNLISTED_WORKER_GRACE_S, holder.links.fleet().leases_end_in_s
        )
        await asyncio.sleep(given_up_after_s - 0.01)
        return running, task_states(fleet), given_up_after_s

    running, given_up, after_s = run_virtual(main())
    assert running == [TaskState.RUNNING]
    assert given_up == [TaskState.STOPPED]
    # A lease of six heartbeats, and another one for a call that was under way.
    assert after_s <= max(
        UNLISTED_WORKER_GRACE_S, 12 * hosts_per_rack / 100 + 1
    )


@pytest.mark.parametrize("late_s", [1.5, 3.5, 4.9, 8.0])
def test_late_renewal_does_not_outlast_the_reported_end_of_the_leases(late_s):
    """Guards against a second run on a day on which calls arrive late.

    The last call before the worker can't be reached has no answer and is
    carried out late. The lease that it grants begins only then, unless the
    earlier one has run out before.
    """

    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.5)
        holder.start("run_s=600")
        await asyncio.sleep(5.0)
        states_at_event = []
        holder.on_unreachable = lambda: states_at_event.extend(
            task_states(fleet)
        )
        worker = fleet.workers[WORKER]

        def delay(_worker_id, req):
            holder.client.on_post = None
            loop.call_later(late_s, lambda: worker.handle(req, loop.time()))
            return FaultMode.STALL

        holder.client.faults[WORKER] = FaultMode.DOWN
        holder.client.on_post = delay
        await asyncio.sleep(60.0)
        return states_at_event

    assert run(main) == [TaskState.STOPPED]


def test_late_renewals_one_after_another_do_not_outlast_the_reported_end():
    """Guards against a second run after several calls without an answer.

    The worker can't be reached any more after the second one. Each of them is
    carried out late, just before the leases would have expired.
    """

    async def main(fleet, hosts):
        holder = Holder(fleet, hosts)
        loop = asyncio.get_running_loop()
        worker = fleet.workers[WORKER]
        states_at_event = []
        holder.on_unreachable = lambda: states_at_event.extend(
            task_states(fleet)
        )
        sent, answered_at = [], []

        def transmit(_worker_id, req):
            if len(sent) == 2:
                return FaultMode.DOWN
            if not sent or (len(answered_at) == 2 and req.lease_s):
                sent.append(req)
                return FaultMode.STALL
            answered_at.append(loop.time())
            return FaultMode.NONE

        await asyncio.sleep(0.5)
        holder.start("run_s=600")
        await asyncio.sleep(5.0)
        holder.client.on_post = transmit
        holder.order(OrderKind.THROTTLE)
        while len(sent) < 2:
            await asyncio.sleep(0.1)
        first, second = sent
        for req, late_s in ((second, 5.5), (first, 9.7)):
            loop.call_at(
                answered_at[-1] + late_s,
                lambda req=req: worker.handle(req, loop.time()),
            )
        await asyncio.sleep(60.0)
        return states_at_event

    assert run(main) == [TaskState.STOPPED]


@pytest.mark.parametrize("late_s", [0.5, 3.0, 4.9, 5.9])
def test_late_renewal_of_an_earlier_holder_does_not_outlast_the_reported_end(
    late_s,
):
    """Guards against a second run when the role and a worker are lost at once.

    The successor never reaches the worker, which therefore doesn't refuse the
    last renewal of the earlier holder.
    """

    async def main(fleet, hosts):
        earlier = Holder(fleet, hosts, epoch=1)
        loop = asyncio.get_running_loop()
        await asyncio.sleep(0.5)
        earlier.start("run_s=600")
        await asyncio.sleep(5.0)
        worker = fleet.workers[WORKER]
        sent = asyncio.Event()

        def delay(_worker_id, req):
            earlier.client.on_post = None
            loop.call_later(late_s, lambda: worker.handle(req, loop.time()))
            sent.set()
            return FaultMode.STALL

        earlier.client.faults[WORKER] = FaultMode.DOWN
        earlier.client.on_post = delay
        await sent.wait()
        states_at_event = []
        successor = Holder(fleet, hosts, epoch=2)
        successor.client.faults[WORKER] = FaultMode.STALL
        successor.on_unreachable = lambda: states_at_event.extend(
            task_states(fleet)
        )
        await asyncio.sleep(60.0)
        return states_at_event

    assert run(main) == [TaskState.STOPPED]


def test_leases_granted_before_the_fleet_shrank_count_until_they_end():
    """Guards against a second run when most workers of a zone are unlisted.

    The worker drops off the list for a moment. From then on leases are shorter,
    but the one that it has is not.
    """

    async def main():
        hosts = worker_hosts("127.0.0.1:1", ["patan"], hosts_per_rack=1455)
        fleet = WorkerFleet.from_hosts(hosts)
        holder = Holder(fleet, hosts)
        await asyncio.sleep(0.5)
        holder.start("run_s=600")
        await asyncio.sleep(20.0)
        states_at_event = []
        holder.on_unreachable = lambda: states_at_event.extend(
            task_states(fleet)
        )
        holder.client.faults[WORKER] = FaultMode.STALL
        holder.directory.replace(())
        await asyncio.sleep(1.0)
        remaining = tuple(host for host in hosts if host.id == WORKER)
        holder.directory.replace(remaining)
        await asyncio.sleep(240.0)
        return states_at_event

    assert run_virtual(main()) == [TaskState.STOPPED]
