"""Stateful test of gang scheduling under arbitrary jobs, edits and faults.

After each step, all invariants of the scheduler are checked.
"""

import random
from collections import Counter

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from pomeloarch_core.gang import ZoneScheduler
from pomeloarch_core.gang.messages import (
    ConfigurationChanged,
    JobSpec,
    TaskState,
    Tick,
    WorkerOrder,
)
from pomeloarch_core.objects.model import (
    Adjacency,
    AvailabilityZone,
    GuaranteedShape,
    JobClass,
    ObjectSet,
    Organisation,
    Snapshot,
    Team,
    Urgency,
    WorkerPool,
)
from pomeloarch_standins.gang_world import GangWorld, worker_infos
from pomeloarch_standins.naive_gang import NaiveShape, can_hold_all

# Limit on how long a gang may run in part: longer than the timeout of a start
# and a lease together.
_MAX_PARTIAL_S = 16.0
# Time in which all jobs have to end once the faults are over.
_MAX_SETTLE_S = 400

_POOL = WorkerPool(
    name="gpu",
    availability_zone="zone",
    racks=2,
    hosts_per_rack=2,
    accelerators_per_host=4,
    cores_per_host=64,
    memory_gb_per_host=64,
)
_INFOS = worker_infos(_POOL)
_CLASSES = (
    JobClass(name="urgent", urgency=Urgency.URGENT, preemptible=False),
    JobClass(
        name="standard", urgency=Urgency.STANDARD, max_gang=4, grace_s=1.0
    ),
    JobClass(
        name="bid", urgency=Urgency.STANDARD, preemptible=False, max_gang=2
    ),
    JobClass(
        name="batch",
        urgency=Urgency.BATCH,
        floor_share=0.25,
        max_gang=8,
        grace_s=2.0,
        adjacency=Adjacency.ANY,
    ),
)
_ORGANISATIONS = (
    Organisation(
        name="owner",
        quota_accelerators=12,
        teams=(Team(name="team", quota_accelerators=6),),
    ),
    Organisation(name="other", quota_accelerators=10),
    Organisation(name="small", weight=2.0),
)
_PAIR = GuaranteedShape(
    name="pair",
    organisation="owner",
    worker_pool="gpu",
    hosts=2,
    accelerators_per_host=2,
)
_WHOLE = GuaranteedShape(
    name="whole",
    organisation="other",
    worker_pool="gpu",
    hosts=1,
    accelerators_per_host=4,
)


def _objects(shapes, classes=_CLASSES, organisations=_ORGANISATIONS):
    return ObjectSet(
        availability_zone=(AvailabilityZone(name="zone", region="r"),),
        worker_pool=(_POOL,),
        organisation=organisations,
        guaranteed_shape=shapes,
        job_class=classes,
    )


def _with_smaller_quota(organisation):
    return msgspec.structs.replace(organisation, quota_accelerators=8)


_CONFIGURATIONS = (
    _objects((_PAIR, _WHOLE)),
    _objects((_PAIR,)),
    _objects((msgspec.structs.replace(_PAIR, count=2), _WHOLE)),
    _objects(
        (_WHOLE,), organisations=tuple(map(_with_smaller_quota, _ORGANISATIONS))
    ),
    _objects(
        (_PAIR, _WHOLE),
        classes=tuple(
            msgspec.structs.replace(c, preemptible=c.name == "batch")
            for c in _CLASSES
        ),
    ),
    _objects(()),
)
_RUNNING_STATES = frozenset({TaskState.RUNNING, TaskState.CHECKPOINTED})

_worker_ids = st.sampled_from([info.worker_id for info in _INFOS])
_class_names = st.sampled_from([c.name for c in _CLASSES])
_owner_names = st.sampled_from([o.name for o in _ORGANISATIONS])


class GangSchedulerMachine(RuleBasedStateMachine):
    """Drives a scheduler with random jobs, edits and faults."""

    faulty = True

    def __init__(self):
        super().__init__()
        self.generation = 1
        self.objects = _CONFIGURATIONS[0]
        self.count = 0
        self.leaving = set()
        self.unlisted = set()
        self.faults = []
        self.partial_since = {}
        self.placed = {}
        self.taking_over = False
        self.former_holder = None
        self.world = GangWorld(self.make_scheduler(1), 1, random.Random(1))
        self.world.heartbeat_s = 1.0
        self.world.tick_s = 0.5
        self.world.order_fault = self.pop_fault
        self.world.on_handled = self.check_quota
        self.world.set_fleet(_INFOS)

    def make_scheduler(self, epoch, now=0.0):
        snapshot = Snapshot(
            generation=self.generation, publication="p", objects=self.objects
        )
        rng = random.Random(epoch)
        return ZoneScheduler.from_config(snapshot, "zone", epoch, now, rng)

    def pop_fault(self, order):
        return self.faults.pop() if self.faults else None

    @initialize(choice=st.integers(0, len(_CONFIGURATIONS) - 1))
    def configure(self, choice):
        self.edit(choice)
        self.world.advance(1.1)

    @rule(
        job_class=_class_names,
        owner=_owner_names,
        members=st.sampled_from([1, 1, 2, 3, 5, 8, 20]),
        size=st.sampled_from([1, 1, 2, 3, 4, 5]),
        idempotent=st.booleans(),
        run_s=st.sampled_from([0.1, 2.0, 15.0]),
        fails=st.sampled_from([False, False, False, True]),
        team=st.sampled_from([None, None, "team"]),
    )
    def submit(
        self, job_class, owner, members, size, idempotent, run_s, fails, team
    ):
        self.count += 1
        spec = JobSpec(
            job_id=f"j{self.count}",
            organisation=owner,
            job_class=job_class,
            members=members,
            accelerators=size,
            idempotent=idempotent,
            team=team if owner == "owner" else None,
            caller=f"caller{self.count % 3}",
        )
        self.world.submit(spec, run_s, fails=fails)

    @rule(
        owner=_owner_names,
        job_class=_class_names,
        count=st.integers(3, 8),
        size=st.sampled_from([1, 2, 4]),
        run_s=st.sampled_from([2.0, 15.0]),
    )
    def burst(self, owner, job_class, count, size, run_s):
        for _ in range(count):
            self.submit(job_class, owner, 1, size, True, run_s, False, None)

    @rule(which=st.integers(0, 50))
    def cancel(self, which):
        if self.count:
            self.world.cancel(f"j{which % self.count + 1}")

    @rule()
    def cancel_all(self):
        for job_id in list(self.world.table):
            self.world.cancel(job_id)

    @rule(seconds=st.sampled_from([0.003, 0.02, 0.3, 1.5, 4.0, 9.0]))
    def advance(self, seconds):
        self.world.advance(seconds)

    @rule(worker_id=_worker_ids)
    def kill(self, worker_id):
        self.world.kill(worker_id)

    @rule(rack=st.sampled_from(sorted({i.rack for i in _INFOS})))
    def kill_rack(self, rack):
        for info in _INFOS:
            if info.rack == rack:
                self.world.kill(info.worker_id)

    @rule()
    def restart_busy_host(self):
        """Restarts a host with running tasks; it reports none of them."""
        for worker_id, worker in self.world.workers.items():
            if worker.is_up and any(
                task.state in _RUNNING_STATES for task in worker.tasks.values()
            ):
                self.world.kill(worker_id)
                self.world.revive(worker_id)
                self.world.advance(1.5)
                return

    @rule()
    def revive_all(self):
        for info in _INFOS:
            self.world.revive(info.worker_id)

    @rule(worker_id=_worker_ids, reachable=st.booleans())
    def cut_off(self, worker_id, reachable):
        self.world.workers[worker_id].reachable = reachable

    @rule(worker_id=_worker_ids, leaving=st.booleans())
    def set_leaving(self, worker_id, leaving):
        (self.leaving.add if leaving else self.leaving.discard)(worker_id)
        self.publish_fleet()

    @rule(worker_id=_worker_ids, unlisted=st.booleans())
    def unlist(self, worker_id, unlisted):
        (self.unlisted.add if unlisted else self.unlisted.discard)(worker_id)
        self.publish_fleet()

    def publish_fleet(self):
        self.world.set_fleet(
            msgspec.structs.replace(
                info, leaving=info.worker_id in self.leaving
            )
            for info in _INFOS
            if info.worker_id not in self.unlisted
        )

    @rule(
        faults=st.lists(
            st.sampled_from(["lost", "answer_lost", None]), max_size=4
        )
    )
    def lose_orders_or_answers(self, faults):
        self.faults = list(faults)

    @rule(delay_s=st.sampled_from([0.01, 0.5, 6.0]))
    def delay_writes(self, delay_s):
        self.world.write_delay = lambda: delay_s

    @rule(choice=st.integers(0, len(_CONFIGURATIONS) - 1))
    def edit(self, choice):
        self.objects = _CONFIGURATIONS[choice]
        self.generation += 1
        snapshot = Snapshot(
            generation=self.generation, publication="p", objects=self.objects
        )
        self.world.send_event(ConfigurationChanged(snapshot))

    @rule()
    def take_over(self):
        self.former_holder = self.world.scheduler
        successor = self.make_scheduler(self.world.epoch + 1, self.world.now)
        self.taking_over = True
        self.world.take_over(successor)
        self.publish_fleet()
        self.taking_over = False

    @rule()
    def wake_former_holder(self):
        """Lets the former holder act once more, as after a long pause."""
        if self.former_holder is None:
            return
        for decision in self.former_holder.handle(Tick(), self.world.now):
            if isinstance(decision, WorkerOrder):
                self.world._deliver_order(decision)

    @invariant()
    def all_invariants_hold(self):
        self.non_idempotent_jobs_start_at_most_once()
        self.no_gang_runs_in_part_for_too_long()
        self.every_guarantee_is_placed_or_reported_short()
        self.guarantee_is_short_only_if_it_cannot_be_placed()
        self.no_accelerator_is_allocated_twice()
        self.no_job_runs_in_two_attempts_at_once()

    def check_quota(self, event, decisions):
        """Checks that jobs newly placed outside guarantees are within quota."""
        quotas = {
            o.name: o.quota_accelerators for o in self.objects.organisation
        }
        placed = {
            job.job_id: job
            for job in self.world.scheduler._jobs.values()
            if job.placement
        }
        held = Counter()
        for job in placed.values():
            held[job.spec.organisation] += job.size
        for job_id in placed.keys() - self.placed.keys():
            job = placed[job_id]
            owner = job.spec.organisation
            if job.allocation_kind.value != "covered" and not self.taking_over:
                assert held[owner] <= quotas[owner], (held, job.spec)
        self.placed = placed

    def non_idempotent_jobs_start_at_most_once(self):
        for (job_id, member), starts in self.world.started_members.items():
            if not self.world.table[job_id].spec.idempotent:
                assert starts <= 1, (job_id, member, starts)

    def no_gang_runs_in_part_for_too_long(self):
        running = Counter()
        sizes = {}
        for worker in self.world.workers.values():
            for (attempt, _), task in worker.tasks.items():
                runs = task.state in _RUNNING_STATES
                done = task.state is TaskState.SUCCEEDED
                running[attempt, runs] += runs or done
                sizes[attempt] = self.world.table[
                    task.order.job_id
                ].spec.members
        now = self.world.now
        partial = {
            attempt
            for (attempt, runs), _ in running.items()
            if runs
            and running[attempt, True] + running[attempt, False]
            < sizes[attempt]
        }
        for attempt in list(self.partial_since):
            if attempt not in partial:
                del self.partial_since[attempt]
        for attempt in partial:
            since = self.partial_since.setdefault(attempt, now)
            assert now - since <= _MAX_PARTIAL_S, attempt

    def every_guarantee_is_placed_or_reported_short(self):
        short = {
            subject
            for kind, subject in self.world.alerts
            if kind == "guarantee_short"
        }
        fixed, covered = self.count_fixed_and_covered()
        reserved = Counter()
        for place in self.world.scheduler.guarantees():
            if place.name in short:
                continue
            assert place.worker_ids, place
            racks = {self.world.workers[w].info.rack for w in place.worker_ids}
            assert len(racks) == 1
            assert len(set(place.worker_ids)) == len(place.worker_ids)
            for worker_id in place.worker_ids:
                assert worker_id not in self.unlisted | self.leaving
                reserved[worker_id] += place.accelerators_per_host
                key = (place.organisation, worker_id)
                covered[key] -= place.accelerators_per_host
        for info in _INFOS:
            held = fixed[info.worker_id] + reserved[info.worker_id]
            if reserved[info.worker_id]:
                assert held <= info.accelerators, (info.worker_id, held)
        assert all(excess <= 0 for excess in covered.values()), covered

    def count_fixed_and_covered(self):
        """Counts the accelerators of fixed and of covered jobs.

        Those of fixed jobs are counted by worker, of covered jobs by owner
        and worker.
        """
        classes = {c.name: c for c in self.objects.job_class}
        fixed, covered = Counter(), Counter()
        for job in self.world.scheduler._jobs.values():
            spec = job.spec
            is_preemptible = (
                classes[spec.job_class].preemptible and spec.idempotent
            )
            for member in job.placement:
                if job.allocation_kind.value == "leaving":
                    # The job is being evicted, whatever its class is by now.
                    assert job.phase.value in ("checkpointing", "ending")
                elif job.allocation_kind.value == "covered":
                    key = (spec.organisation, member.worker_id)
                    covered[key] += len(member.accelerators)
                elif not is_preemptible:
                    fixed[member.worker_id] += len(member.accelerators)
        return fixed, covered

    def guarantee_is_short_only_if_it_cannot_be_placed(self):
        short = [
            subject
            for kind, subject in self.world.alerts
            if kind == "guarantee_short"
        ]
        if not short:
            return
        fixed, covered = self.count_fixed_and_covered()
        if any(covered.values()):
            return
        reported_unreachable = self.world._reported_unreachable
        unusable = self.unlisted | self.leaving | reported_unreachable
        reservable = {
            i.worker_id: 0
            if i.worker_id in unusable
            else i.accelerators - fixed[i.worker_id]
            for i in _INFOS
        }
        racks = {}
        for info in _INFOS:
            racks.setdefault(info.rack, []).append(info.worker_id)
        shapes = [
            NaiveShape(
                len(g.worker_ids) or self.hosts_of_shape(g),
                g.accelerators_per_host,
            )
            for g in self.world.scheduler.guarantees()
        ]
        assert not can_hold_all(racks, reservable, shapes), short

    def hosts_of_shape(self, place):
        name = place.name.split("/")[0]
        shapes = {s.name: s for s in self.objects.guaranteed_shape}
        return shapes[name].hosts

    def no_job_runs_in_two_attempts_at_once(self):
        running = {}
        for worker in self.world.workers.values():
            for (attempt, _), task in worker.tasks.items():
                if task.state in _RUNNING_STATES:
                    first_attempt = running.setdefault(
                        task.order.job_id, attempt
                    )
                    assert first_attempt == attempt, (first_attempt, attempt)

    def no_accelerator_is_allocated_twice(self):
        allocated = Counter()
        for job in self.world.scheduler._jobs.values():
            if job.phase.value == "waiting_for_victims":
                continue
            for member in job.placement:
                for accelerator in member.accelerators:
                    allocated[member.worker_id, accelerator] += 1
        if self.former_holder is None:
            assert all(n == 1 for n in allocated.values()), allocated

    def teardown(self):
        """Checks that every job ends once the faults are over."""
        world = self.world
        world.write_delay = lambda: 0.01
        self.faults = []
        self.leaving, self.unlisted = set(), set()
        for worker in world.workers.values():
            worker.is_up = worker.reachable = True
        self.publish_fleet()
        self.edit(len(_CONFIGURATIONS) - 1)
        for _ in range(_MAX_SETTLE_S // 5):
            if all(record.state.is_final for record in world.table.values()):
                break
            world.advance(5.0)
        unfinished = {
            job_id: (record.state, world.scheduler.explain(job_id))
            for job_id, record in world.table.items()
            if not record.state.is_final
        }
        assert not unfinished, unfinished


def _run_machine(machine, examples, steps):
    default = settings.default
    count = max(examples, default.max_examples if _is_fuzzing() else 0)
    run_state_machine_as_test(
        machine,
        settings=settings(max_examples=count, stateful_step_count=steps),
    )


def _is_fuzzing():
    return settings.default.max_examples > 1_000


class FaultFreeGangSchedulerMachine(GangSchedulerMachine):
    """Drives a scheduler without faults.

    Workers must then never be asked for accelerators that are in use.
    """

    kill = kill_rack = restart_busy_host = cut_off = set_leaving = unlist = None
    lose_orders_or_answers = take_over = wake_former_holder = None

    @invariant()
    def no_reservation_collides(self):
        assert self.world.collisions == 0


def test_machine_keeps_invariants_in_short_histories():
    _run_machine(GangSchedulerMachine, 400, 12)


def test_machine_keeps_invariants_in_long_histories():
    _run_machine(GangSchedulerMachine, 150, 40)


def test_machine_without_faults_never_allocates_twice():
    _run_machine(FaultFreeGangSchedulerMachine, 250, 15)
