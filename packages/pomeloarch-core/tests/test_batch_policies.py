"""Advice, pacing, waves of upkeep, rows, leases and the checks of a job."""

import pytest

from pomeloarch_core.batch.advice import MAX_ASKED_WORKERS, AdviceCache
from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import GroupState, JobEntry, Member, can_stop
from pomeloarch_core.batch.messages import LogEntry, PaceTask, WorkerInfo
from pomeloarch_core.batch.model import (
    BatchJob,
    ImageName,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.batch.pacing import Pacer
from pomeloarch_core.batch.rows import JobRow, StepRow
from pomeloarch_core.batch.upkeep import (
    MachineId,
    UpkeepOutcome,
    Wave,
    WavePlan,
)
from pomeloarch_core.ids import (
    Epoch,
    JobId,
    NodeId,
    OrganisationName,
    ServiceName,
    WorkerId,
    ZoneName,
)
from pomeloarch_core.membership import LeaseMachine, LeaseRow

QUEUE = Queue(QueueName("q"), ServiceName("s"), advised=True)


def make_entry(*steps):
    job = BatchJob(
        JobId("0" * 16), QUEUE.name, OrganisationName("o"), QUEUE, "", steps
    )
    return JobEntry(
        job, JobRow.from_job(job), QUEUE, inherited=False, accepted_at=0.0
    )


def make_worker(number):
    info = WorkerInfo(
        WorkerId(f"w{number:03}"),
        ServiceName("s"),
        "",
        ZoneName("z"),
        Resources(64_000, 64_000, 8),
    )
    return Worker(info)


def advised_group():
    return make_entry(Step(count=2)).groups[0, 0][0]


def test_no_worker_may_run_an_advised_step_before_it_was_asked_about():
    advice, group = AdviceCache(), advised_group()
    workers = [make_worker(n) for n in range(3)]
    assert advice.filter_ticketed(group, workers, 0.0) == []
    question = advice.next_question(group, workers, 0.0)
    assert set(question.worker_ids) == {each.worker_id for each in workers}
    assert advice.next_question(group, workers, 0.1) is None


def test_question_names_a_limited_number_of_workers():
    advice, group = AdviceCache(), advised_group()
    question = advice.next_question(
        group, [make_worker(n) for n in range(100)], 0.0
    )
    assert len(question.worker_ids) == MAX_ASKED_WORKERS


def test_ticket_is_valid_until_it_expires_and_denied_workers_stay_denied():
    advice, group = AdviceCache(), advised_group()
    allowed, denied = make_worker(1), make_worker(2)
    question = advice.next_question(group, [allowed, denied], 0.0)
    advice.record_answer(question, {allowed.worker_id: "t"}, 3.0)
    assert advice.filter_ticketed(group, [allowed, denied], 1.0) == [allowed]
    assert advice.ticket_for(group, allowed) == "t"
    assert advice.filter_ticketed(group, [allowed, denied], 2.9) == []
    renewal = advice.next_question(group, [allowed, denied], 2.9)
    assert renewal.worker_ids == (allowed.worker_id,)


def test_ticket_is_for_one_incarnation_of_a_worker():
    advice, group = AdviceCache(), advised_group()
    allowed = make_worker(1)
    question = advice.next_question(group, [allowed], 0.0)
    advice.record_answer(question, {allowed.worker_id: "t"}, 9.0)
    assert advice.filter_ticketed(group, [allowed], 1.0) == [allowed]
    allowed.incarnation = 5
    assert advice.filter_ticketed(group, [allowed], 1.0) == []


def full_worker(number, group):
    worker = make_worker(number)
    worker.allocate(group, worker.info.capacity, claimed=False)
    return worker


def learn(advice, group, workers, allowed, now=0.0, valid_until=60.0):
    """Asks about workers, of which some may run the step."""
    question = advice.next_question(group, workers, now)
    tickets = {each.worker_id: "t" for each in allowed}
    advice.record_answer(question, tickets, valid_until)


NEED = Resources(1_000, 1_000, 1)


@pytest.mark.parametrize("stay", [True, False], ids=["full", "left"])
def test_new_workers_are_asked_about_where_the_allowed_ones_are_no_use(stay):
    """Guards against a step that waits for workers that left or stay full."""
    group = make_entry(Step(count=1, need=NEED)).groups[0, 0][0]
    advice, old = AdviceCache(), [full_worker(n, group) for n in (1, 2)]
    learn(advice, group, old, allowed=old)
    new = [make_worker(n) for n in (3, 4)]
    present = old + new if stay else new
    question = advice.next_question(group, present, 1.0)
    assert set(question.worker_ids) == {each.worker_id for each in new}


def test_full_workers_are_not_asked_about_once_enough_are_allowed():
    """Guards against questions about all workers of a full service."""
    group = make_entry(Step(count=1, need=NEED)).groups[0, 0][0]
    advice, workers = AdviceCache(), [full_worker(n, group) for n in range(9)]
    learn(advice, group, workers[:2], allowed=workers[:2])
    assert advice.next_question(group, workers, 1.0) is None


def test_workers_with_room_go_before_full_ones_with_expired_tickets():
    """Guards against questions that always name the same full workers."""
    group = make_entry(Step(count=1, need=NEED)).groups[0, 0][0]
    advice = AdviceCache()
    full = [full_worker(n, group) for n in range(MAX_ASKED_WORKERS)]
    learn(advice, group, full, allowed=full, valid_until=2.0)
    new = make_worker(99)
    question = advice.next_question(group, [*full, new], 3.0)
    assert question.worker_ids[0] == new.worker_id


@pytest.mark.parametrize(("incarnation", "asked"), [(0, False), (5, True)])
def test_worker_that_was_denied_is_asked_about_again_after_a_restart(
    incarnation, asked
):
    """Guards against a worker that comes back as one of another kind."""
    advice, group = AdviceCache(), advised_group()
    worker = make_worker(1)
    learn(advice, group, [worker], allowed=[])
    worker.incarnation = incarnation
    question = advice.next_question(group, [worker], 1.0)
    assert (question is not None) == asked


def test_answers_about_a_worker_go_with_it():
    """Guards against answers that pile up for a step that lasts."""
    advice, group = AdviceCache(), advised_group()
    allowed, denied = make_worker(1), make_worker(2)
    learn(advice, group, [allowed, denied], allowed=[allowed])
    for each in (allowed, denied):
        advice.forget_worker(each.worker_id)
    question = advice.next_question(group, [allowed, denied], 1.0)
    assert len(question.worker_ids) == 2


def paced_worker(load, target=100):
    worker = make_worker(1)
    serving = make_entry(
        Step(
            count=1,
            image=ImageName("web"),
            latency_target_ms=target,
            long_running=True,
        )
    ).groups[0, 0][0]
    scavenging = make_entry(Step(count=1, scavenging=True)).groups[0, 0][0]
    for group, value in ((serving, load), (scavenging, 0.0)):
        group.state = GroupState.STARTED
        member = group.members[0] = Member(worker.worker_id)
        member.started_at, member.load = 0.0, value
        worker.allocate(group, Resources(), claimed=False)
    return worker, serving.members[0]


def paces(decisions):
    return [each.percent for each in decisions if isinstance(each, PaceTask)]


def test_scavenging_tasks_are_paused_while_latency_exceeds_its_target():
    pacer = Pacer()
    worker, _ = paced_worker(load=150.0)
    found, now = [], 0.0
    while now < 2.5:
        found += paces(pacer.observe(worker, now))
        now += 0.5
    assert found == [30, 0]


def test_scavenging_tasks_speed_up_once_latency_is_low_again():
    pacer = Pacer()
    worker, serving = paced_worker(load=150.0)
    pacer.observe(worker, 0.0)
    serving.load = 40.0
    assert paces(pacer.observe(worker, 1.0)) == []
    assert paces(pacer.observe(worker, 2.5)) == [45]


@pytest.mark.parametrize("load", [0.0, 69.0, 85.0])
def test_scavenging_tasks_keep_their_pace_while_the_target_is_met(load):
    worker, _ = paced_worker(load)
    assert paces(Pacer().observe(worker, 10.0)) == []


def test_scavenging_tasks_speed_up_once_no_serving_task_is_left():
    """Guards against tasks that stay slow or paused beside nothing."""
    pacer = Pacer()
    worker, serving = paced_worker(load=150.0)
    assert paces(pacer.observe(worker, 0.0)) == [30]
    (group,) = (
        each for each in worker.groups if serving in each.members.values()
    )
    worker.release(group, Resources(), claimed=False)
    decisions = [
        each for n in range(1, 61) for each in pacer.observe(worker, n * 0.5)
    ]
    assert paces(decisions) == [45, 60, 75, 90, 100]


def test_scavenging_tasks_keep_their_pace_while_a_serving_task_starts():
    """Guards against a scheduler that fails on the report in between."""
    worker, serving = paced_worker(load=0.0)
    serving.started_at = None
    assert paces(Pacer().observe(worker, 10.0)) == []


def test_change_of_pace_is_logged():
    worker, _ = paced_worker(load=150.0)
    log_entries = [
        n for n in Pacer().observe(worker, 9.0) if isinstance(n, LogEntry)
    ]
    assert log_entries[0].fields["cut"] is True


@pytest.mark.parametrize(
    ("may_miss", "at_work", "allowed"),
    [(0, 1, True), (1, 2, True), (1, 1, False), (2, 1, True), (2, 0, False)],
)
def test_long_running_step_keeps_enough_tasks_running(
    may_miss, at_work, allowed
):
    step = Step(count=3, long_running=True, may_miss=may_miss)
    siblings = make_entry(step).groups[0, 0]
    groups = [siblings[index] for index in range(3)]
    for group in groups[1 : 1 + at_work]:
        group.state = GroupState.STARTED
        member = group.members[group.indices[0]] = Member(WorkerId("w"))
        member.started_at, member.percent = 0.0, 100.0
    assert can_stop(groups[0]) is allowed


def wave(machines=4, max_at_once=2, duration=20.0):
    names = tuple(MachineId(f"m{n}") for n in range(machines))
    return Wave(1, names, duration, max_at_once)


def run_wave(plan, load, until, outcome=UpkeepOutcome.DONE):
    """Returns the times at which machines went down."""
    now, down = 0.0, {}
    while now < until and not plan.completed:
        machine = plan.next_order(load, now)
        if machine is None:
            now += 0.25
            continue
        plan.record_outcome(machine, outcome, now)
        if outcome is UpkeepOutcome.DONE:
            down[machine] = now
    return down


def test_wave_is_done_in_time_with_few_down_at_once():
    plan = WavePlan(wave(), 0.0, 2.0)
    down = run_wave(plan, dict.fromkeys(plan.wave.machines, 0.0), 20.0)
    assert len(down) == 4
    assert plan.completed
    for at in down.values():
        assert sum(at <= other < at + 2.0 for other in down.values()) <= 2


def test_idle_machines_go_first_and_busy_ones_in_time():
    plan = WavePlan(wave(machines=2, max_at_once=1), 0.0, 2.0)
    down = run_wave(plan, {MachineId("m0"): 99.0, MachineId("m1"): 0.0}, 20.0)
    assert down[MachineId("m1")] < down[MachineId("m0")] < 20.0 - 2.0


def test_machine_whose_order_got_no_answer_counts_as_down():
    plan = WavePlan(wave(machines=2, max_at_once=1), 0.0, 2.0)
    load = dict.fromkeys(plan.wave.machines, 0.0)
    first = plan.next_order(load, 0.0)
    plan.record_outcome(first, UpkeepOutcome.NO_ANSWER, 0.0)
    assert plan.next_order(load, 1.0) is None
    assert plan.next_order(load, 4.0) is not None


def test_machine_that_is_gone_or_not_of_the_wave_is_not_waited_for():
    plan = WavePlan(wave(machines=2, max_at_once=1), 0.0, 2.0)
    machine = plan.next_order({MachineId("m1"): 0.0}, 0.0)
    assert machine == "m1"
    plan.record_outcome(machine, UpkeepOutcome.NOT_OF_WAVE, 0.0)
    assert plan.completed


def test_done_tasks_are_stored_as_bits():
    row = StepRow()
    row.mark_done([0, 3, 70])
    assert [n for n in range(80) if row.is_done(n)] == [0, 3, 70]


def free_row():
    return LeaseRow(None, "old", Epoch(3))


@pytest.mark.parametrize(
    ("read_took", "turn", "claims_at"),
    [(0.01, 0.0, 1.01), (0.01, 0.9, 1.064), (0.5, 0.5, 3.0)],
)
def test_candidates_claim_in_turn_when_the_table_is_slow(
    read_took, turn, claims_at
):
    machine = LeaseMachine(NodeId("n"), "me", None, 0.0, turn)
    machine.action(1.0)
    machine.observed(7, free_row(), 1.0 + read_took)
    assert machine.due(1.0 + read_took) == pytest.approx(
        min(claims_at, 1.5), abs=1e-6
    )


def test_node_claims_at_once_what_its_own_former_process_held():
    machine = LeaseMachine(NodeId("n"), "me")
    machine.action(1.0)
    machine.observed(7, LeaseRow(NodeId("n"), "other", Epoch(3)), 1.01)
    assert machine.due(1.01) == pytest.approx(1.01)


@pytest.mark.parametrize(
    ("steps", "occurrences", "finding"),
    [
        ((), 0, "a job has at least one step"),
        ((Step(0),), 0, "step 0 has no task"),
        ((Step(1, after=(0,)),), 0, "step 0 may wait for earlier steps only"),
        ((Step(1, Resources(-1)),), 0, "step 0 needs a negative amount"),
        ((Step(30_001),), 0, "a job has at most 30000 tasks, not 30001"),
        ((Step(100),), 301, "a job has at most 30000 tasks, not 30100"),
        ((Step(30_000),), 0, None),
    ],
)
def test_findings_of_a_job(steps, occurrences, finding):
    queue = Queue(QueueName("q"), ServiceName("s"))
    job = BatchJob(
        JobId("1" * 16),
        queue.name,
        OrganisationName(""),
        queue,
        "",
        steps,
        occurrences=occurrences,
    )
    assert job.findings() == ([finding] if finding else [])
