"""Groups of tasks, the unit that is placed, and the jobs that they are of."""

from __future__ import annotations

import enum

from pomeloarch_core.batch.catalogue import Queue
from pomeloarch_core.batch.messages import RunNumber, StepId, TaskId
from pomeloarch_core.batch.model import BatchJob, Step
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.ids import WorkerId

# Below this gain in the share of work done, in percent, how fast a run gets on
# isn't known: most of the time may have gone into its beginning.
MIN_PROGRESS_PERCENT = 5.0


class GroupState(enum.Enum):
    """Where a group stands.

    WAITING: an earlier step or its time is not there yet.
    READY: to be placed.
    CLAIMED: it has a place that others have to leave first.
    STARTED: its tasks were ordered to start, or run.
    STOPPING: its run is being taken down.
    OVER: it has ended for good.
    """

    WAITING = "waiting"
    READY = "ready"
    CLAIMED = "claimed"
    STARTED = "started"
    STOPPING = "stopping"
    ENDED = "over"


class WaitReason(enum.Enum):
    """Why a group that is ready has no place.

    ROOM: enough workers will be free in time by themselves.
    VICTIMS: only groups could give way that are not to.
    COST: it would do more harm to what gives way than the group is worth.
    ANY_ROOM: no room is in sight.
    """

    ROOM = "room"
    VICTIMS = "victims"
    COST = "cost"
    ANY_ROOM = "any_room"


class Member:
    """One task of a group in its current run.

    Attributes:
      worker_id: where it was placed.
      started_at: when its start was confirmed, None before.
      stopped_at: when its stop was confirmed, None before.
      percent: the share of its work that was reported last.
      load: its tail latency in ms when it serves, else its processor use.
      pace: the share of its pace that it was last ordered to, in percent.
      advanced_at: when that share last changed.
      reported_at: when it was last reported.
      first_percent: the share of its work that was reported first.
      first_at: when that share was last reported.
    """

    def __init__(self, worker_id: WorkerId) -> None:
        """Starts as a task that has been given a place."""
        self.worker_id = worker_id
        self.started_at: float | None = None
        self.stopped_at: float | None = None
        self.percent = 0.0
        self.load = 0.0
        self.pace_percent = 100
        self.advanced_at: float | None = None
        self.reported_at = 0.0
        self.first_percent: float | None = None
        self.first_at = 0.0

    def record_progress(self, percent: float, now: float) -> None:
        """Takes in how far it is."""
        self.percent = percent
        self.reported_at = now
        if self.first_percent in (None, percent):
            self.first_percent = percent
            self.first_at = now

    @property
    def speed(self) -> float | None:
        """The share of work done in a second, in percent, None at first.

        What was done before the first report doesn't count: when that began
        may be unknown.
        """
        if self.first_percent is None:
            return None
        gained = self.percent - self.first_percent
        took_s = self.reported_at - self.first_at
        if gained < MIN_PROGRESS_PERCENT or took_s <= 0:
            return None
        return gained / took_s


class Group:
    """Tasks that are placed together: a gang, or one task.

    Attributes:
      job: the job that it is of.
      occurrence: which occurrence of the job's steps.
      number: the number of its step.
      indices: its tasks within the step.
      state: where it stands.
      run: its current or last run.
      members: tasks of the current run that may still be on a worker.
      checkpoint: what the next run resumes from.
      failed_runs: runs that ended as failed.
      failed_on: workers on which it failed.
      not_before: earliest time of the next placement.
      ready_at: when it became ready.
      started_at: when its current run was ordered.
      resumed: whether the current run's beginning wasn't seen.
      compared: whether its members' progress was compared in this run.
      moves: how often it was moved off workers that held it up.
      look_again_at: when room is next made for it, or workers are kept.
      placed_by: the change of its job's row that names its places.
      waits_for: why it had no room when last looked at, for the log.
      kept: workers that are kept for it.
      kept_until: until when they will likely have room for it.
      uncertain: whether an earlier scheduler's run of it may be unknown.
    """

    def __init__(
        self,
        job: JobEntry,
        occurrence: int,
        number: int,
        indices: tuple[int, ...],
    ) -> None:
        """Starts as a group that waits for its turn."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.indices = indices
        self.step: Step = job.job.steps[number]
        self.state = GroupState.WAITING
        self.run = RunNumber(0)
        self.members: dict[int, Member] = {}
        self.checkpoint = ""
        self.failed_runs: set[int] = set()
        self.failed_on: set[WorkerId] = set()
        self.not_before = 0.0
        self.ready_at = 0.0
        self.started_at = 0.0
        self.resumed = False
        self.compared = False
        self.move_count = 0
        self.replan_at = 0.0
        self.placement_change = 0
        self.wait_reason: WaitReason | None = None
        self.reserved_workers: tuple[WorkerId, ...] = ()
        self.reserved_until = 0.0
        self.recovery_pending = False

    @property
    def name(self) -> str:
        """The group's first task, for logs."""
        return str(self.task(self.indices[0]))

    @property
    def step_id(self) -> StepId:
        """The step that the group is of."""
        return StepId(self.job.job.job_id, self.occurrence, self.number)

    def task(self, index: int) -> TaskId:
        """Returns the id of one of its tasks."""
        return TaskId(self.job.job.job_id, self.occurrence, self.number, index)

    def tasks(self) -> list[TaskId]:
        """Returns the ids of its tasks."""
        return [self.task(index) for index in self.indices]

    @property
    def failures(self) -> int:
        """How many of its runs have failed."""
        return len(self.failed_runs)

    @property
    def is_running(self) -> bool:
        """Whether all tasks of its run were confirmed."""
        return self.state is GroupState.STARTED and all(
            each.started_at is not None for each in self.members.values()
        )

    @property
    def percent(self) -> float:
        """The least share of work done that a member reported."""
        return min((m.percent for m in self.members.values()), default=0.0)

    @property
    def slowest_member(self) -> Member | None:
        """The member that has got least far."""
        members = self.members.values()
        return min(members, key=lambda m: m.percent, default=None)


class JobEntry:
    """A job and its groups.

    Attributes:
      job: the job as it was accepted.
      row: its durable state as decided; it may not be written yet.
      change: counts the changes of the row.
      written: the change up to which the row is durable.
      placed_by: the change that last said where tasks may have been started.
      groups: its groups, by occurrence and step.
      standing: how it stood against its objective when last looked at.
      maybe_started: whether an earlier scheduler may have started tasks of it.
      accepted_at: when it was accepted, by the scheduler's clock.
      taken_over: whether an earlier scheduler had the job.
    """

    def __init__(
        self,
        job: BatchJob,
        row: JobRow,
        queue: Queue,
        inherited: bool,
        accepted_at: float,
    ) -> None:
        """Makes the job's groups; what its row says to be done is over."""
        self.job = job
        self.accepted_at = accepted_at
        self.inherited = inherited
        self.row = row
        self.queue = queue
        self.maybe_started = inherited and not row.unplaced
        self.standing = 0
        self.change = 0
        self.written = 0
        self.placement_change = 0
        self.groups: dict[tuple[int, int], list[Group]] = {}
        for occurrence in range(job.occurrence_count):
            for number in range(len(job.steps)):
                key = occurrence, number
                self.groups[key] = self._make_groups(occurrence, number)

    def _make_groups(self, occurrence: int, number: int) -> list[Group]:
        step = self.job.steps[number]
        indices = range(step.count)
        parts = [tuple(indices)] if step.gang else [(i,) for i in indices]
        settled = self.row.steps.get(f"{occurrence}.{number}")
        groups = []
        for part in parts:
            group = Group(self, occurrence, number, part)
            group.recovery_pending = self.maybe_started
            if settled is not None:
                first = str(part[0])
                group.failed_runs = set(settled.failures.get(first, ()))
                group.checkpoint = settled.checkpoints.get(first, "")
                if settled.is_done(part[0]):
                    group.state = GroupState.ENDED
            groups.append(group)
        return groups

    def group_of(self, task: TaskId) -> Group | None:
        """Returns the group of a task, None when there is no such task."""
        groups = self.groups.get((task.occurrence, task.step))
        if groups is None or task.index >= self.job.steps[task.step].count:
            return None
        return groups[0] if groups[0].step.gang else groups[task.index]

    def all_groups(self) -> list[Group]:
        """Returns the groups of all steps."""
        return [each for part in self.groups.values() for each in part]

    def is_step_done(self, occurrence: int, number: int) -> bool:
        """Whether all tasks of a step have ended well."""
        return all(
            each.state is GroupState.ENDED
            for each in self.groups[occurrence, number]
        )

    @property
    def is_done(self) -> bool:
        """Whether every task has ended well."""
        return all(self.is_step_done(*key) for key in self.groups)


def can_stop(group: Group) -> bool:
    """Whether a task of a lasting step may be stopped by this system.

    A step says how many of its tasks may be away at once on its orders.
    """
    if not group.step.may_miss:
        return True
    others = group.job.groups[group.occurrence, group.number]
    away = sum(
        each is not group and not (each.is_running and each.percent >= 100)
        for each in others
    )
    return away < group.step.may_miss
