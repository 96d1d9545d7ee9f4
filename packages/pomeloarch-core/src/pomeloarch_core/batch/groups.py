"""Groups of tasks, which are the unit that is placed, and their jobs."""

from __future__ import annotations

import enum
from collections.abc import Iterable

from pomeloarch_core.batch.catalogue import Queue
from pomeloarch_core.batch.messages import (
    Incarnation,
    RunNumber,
    StepId,
    TaskId,
)
from pomeloarch_core.batch.model import BatchJob, Step
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.ids import WorkerId

# Progress of a run, in percent, below which its speed is unknown: most of the
# time may have gone into its startup.
MIN_PROGRESS_PERCENT = 5.0


class GroupState(enum.Enum):
    """The state of a group.

    WAITING: an earlier step has not ended or the group is not due yet.
    READY: it is to be placed.
    CLAIMED: it has places but has not been ordered to start: its job's row is
      not durable yet, or other groups have to leave first.
    STARTED: its tasks were ordered to start or are running.
    STOPPING: its run is being stopped.
    ENDED: it has ended for good.
    """

    WAITING = "waiting"
    READY = "ready"
    CLAIMED = "claimed"
    STARTED = "started"
    STOPPING = "stopping"
    ENDED = "over"


_UNPLACED_STATES = (GroupState.WAITING, GroupState.READY)


class WaitReason(enum.Enum):
    """Why a ready group has no places.

    OPEN_START: an earlier order to start it may still be carried out.
    OPEN_ORDERS: too many starts of its job are not answered yet.
    ROOM: enough workers will be free in time without preemption.
    VICTIMS: no groups can be preempted that would make enough room.
    COST: preemption would cost more than the group is worth.
    ANY_ROOM: no room is in sight.
    """

    OPEN_START = "open_start"
    OPEN_ORDERS = "open_orders"
    ROOM = "room"
    VICTIMS = "victims"
    COST = "cost"
    ANY_ROOM = "any_room"


class Member:
    """A task of a group in its current run.

    Attributes:
      worker_id: the worker that it was placed on.
      run: the number of the run that it was ordered to start; 0 while its
        place is only claimed.
      started_at: when its start was confirmed, None before.
      stopped_at: when its stop was confirmed, None before.
      incarnation: the worker's incarnation when its start was ordered, or that
        reported the run when it was adopted.
      unanswered: number of copies of the order to start it without an answer.
      maybe_ended_at: when it may have ended at the latest, unless a report that
        is asked for later lists it; None while nothing suggests it.
      percent: share of its work that was reported as done last, in percent.
      load: tail latency in milliseconds of a serving task, otherwise processor
        use in thousandths of a core.
      pace_percent: share of its full pace that was last ordered, in percent;
        None when an earlier scheduler may have ordered another one.
      advanced_at: when `percent` last changed.
      reported_at: when it was last reported.
      first_percent: the value of `percent` in its first report.
      first_at: when `first_percent` was last reported.
    """

    def __init__(self, worker_id: WorkerId) -> None:
        """Creates a task that was placed on a worker."""
        self.worker_id = worker_id
        self.run = RunNumber(0)
        self.started_at: float | None = None
        self.stopped_at: float | None = None
        self.incarnation = Incarnation(0)
        self.unanswered = 0
        self.maybe_ended_at: float | None = None
        self.percent = 0.0
        self.load = 0.0
        self.pace_percent: int | None = 100
        self.advanced_at: float | None = None
        self.reported_at = 0.0
        self.first_percent: float | None = None
        self.first_at = 0.0

    def record_progress(self, percent: float, now: float) -> None:
        """Records how much of its work is done."""
        self.percent = percent
        self.reported_at = now
        if self.first_percent in (None, percent):
            self.first_percent = percent
            self.first_at = now

    @property
    def speed(self) -> float | None:
        """Its speed in percent of its work per second, None when unknown.

        Work that was done before the first report doesn't count, as the time
        when it began may be unknown.
        """
        if self.first_percent is None:
            return None
        gained = self.percent - self.first_percent
        took_s = self.reported_at - self.first_at
        if gained < MIN_PROGRESS_PERCENT or took_s <= 0:
            return None
        return gained / took_s


class Group:
    """Tasks that are placed together: a gang or a single task.

    Attributes:
      job: the job that it belongs to.
      occurrence: the occurrence of the job's steps.
      number: the number of its step.
      step: its step.
      indices: the indices of its tasks within the step.
      run: the number of its current or last run.
      members: tasks of the current run that may still be on a worker.
      checkpoint: the checkpoint that the next run resumes from.
      failed_runs: numbers of the runs that failed.
      failed_on: workers that the next run avoids.
      not_before: earliest time of the next placement.
      ready_at: when it became ready.
      away_since: when it was last seen to be at work, 0 before it ever was.
      started_at: when its current run was ordered to start.
      done_at: when the first member's success in its current run was seen, None
        when none was.
      resumed: whether the current run began from a checkpoint or was adopted.
      compared: whether the progress of its members was compared in this run.
      move_count: how often it was moved off stragglers.
      replan_at: when it next looks for groups to preempt or workers to reserve.
      placement_change: the change of its job's row that names its places.
      wait_reason: why it had no room when it was last tried, for the log.
      reserved_workers: workers that are reserved for it.
      reserved_until: when these will likely have room for it.
      recovery_pending: whether a run of an earlier scheduler may still be
        unknown.
    """

    def __init__(
        self,
        job: JobEntry,
        occurrence: int,
        number: int,
        indices: tuple[int, ...],
    ) -> None:
        """Creates a group that is not ready yet."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.indices = indices
        self.step: Step = job.job.steps[number]
        self._state = GroupState.WAITING
        self.run = RunNumber(0)
        self.members: dict[int, Member] = {}
        self.checkpoint = ""
        self.failed_runs: set[int] = set()
        self.failed_on: set[WorkerId] = set()
        self.not_before = 0.0
        self.ready_at = 0.0
        self.away_since = 0.0
        self.started_at = 0.0
        self.done_at: float | None = None
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
    def state(self) -> GroupState:
        """Its state."""
        return self._state

    @state.setter
    def state(self, state: GroupState) -> None:
        former, self._state = self._state, state
        self.job.note_state(self, former)

    @property
    def name(self) -> str:
        """The name of the group's first task, for logs."""
        return str(self.task(self.indices[0]))

    @property
    def key(self) -> str:
        """Its key within its job, `OCCURRENCE.STEP.INDEX` of the first task."""
        return f"{self.occurrence}.{self.number}.{self.indices[0]}"

    @property
    def may_overlap(self) -> bool:
        """Whether copies of its tasks may run at the same time.

        It doesn't wait for orders that may be carried out late.
        """
        return self.step.speculative

    @property
    def step_id(self) -> StepId:
        """The id of the group's step."""
        return StepId(self.job.job.job_id, self.occurrence, self.number)

    def task(self, index: int) -> TaskId:
        """Returns the id of one of its tasks."""
        return TaskId(self.job.job.job_id, self.occurrence, self.number, index)

    def tasks(self) -> list[TaskId]:
        """Returns the ids of its tasks."""
        return [self.task(index) for index in self.indices]

    @property
    def failures(self) -> int:
        """The number of its failed runs."""
        return len(self.failed_runs)

    @property
    def is_running(self) -> bool:
        """Whether the starts of all tasks in its run were confirmed."""
        return self.state is GroupState.STARTED and all(
            each.started_at is not None for each in self.members.values()
        )

    @property
    def is_serving(self) -> bool:
        """Whether the tasks of its long-running step are certainly at work."""
        return (
            self.is_running
            and self.percent >= 100
            and all(m.maybe_ended_at is None for m in self.members.values())
        )

    @property
    def percent(self) -> float:
        """The lowest progress of a member, in percent."""
        return min((m.percent for m in self.members.values()), default=0.0)

    @property
    def slowest_member(self) -> Member | None:
        """The member with the lowest progress."""
        members = self.members.values()
        return min(members, key=lambda m: m.percent, default=None)


class JobEntry:
    """A job and its groups.

    Attributes:
      job: the job as it was accepted.
      row: its state as decided; the latest changes may not be durable yet.
      queue: the settings of its queue.
      change: number of the row's last change.
      written: number of the last change that is durable.
      placement_change: number of the last change that named workers on which
        tasks may be started.
      groups: its groups by occurrence and step.
      unplaced: those of them that wait or are ready, in the same way.
      claimed: its groups that have places but were not ordered to start.
      standing: its standing against its objective when last determined.
      maybe_started: whether an earlier scheduler may have started tasks of it.
      accepted_at: when it was accepted, by the scheduler's clock.
      inherited: whether an earlier scheduler had the job.
    """

    def __init__(
        self,
        job: BatchJob,
        row: JobRow,
        queue: Queue,
        inherited: bool,
        accepted_at: float,
    ) -> None:
        """Creates the job's groups; those marked as done have ended."""
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
        self.unplaced: dict[tuple[int, int], dict[Group, None]] = {}
        self.claimed: dict[Group, None] = {}
        self._ended: dict[tuple[int, int], int] = {}
        for occurrence in range(job.occurrence_count):
            for number in range(len(job.steps)):
                key = occurrence, number
                self._ended[key] = 0
                self.unplaced[key] = {}
                self.groups[key] = self._make_groups(occurrence, number)

    def _make_groups(self, occurrence: int, number: int) -> list[Group]:
        step = self.job.steps[number]
        indices = range(step.count)
        parts = [tuple(indices)] if step.gang else [(i,) for i in indices]
        settled = self.row.steps.get(f"{occurrence}.{number}")
        groups = []
        for part in parts:
            group = Group(self, occurrence, number, part)
            self.unplaced[occurrence, number][group] = None
            group.recovery_pending = self.maybe_started
            if settled is not None:
                first = str(part[0])
                group.failed_runs = set(settled.failures.get(first, ()))
                group.checkpoint = settled.checkpoints.get(first, "")
                if settled.is_done(part[0]):
                    group.state = GroupState.ENDED
            groups.append(group)
        return groups

    def note_state(self, group: Group, former: GroupState) -> None:
        """Takes in that a group has changed its state."""
        key = group.occurrence, group.number
        if former is GroupState.ENDED:
            self._ended[key] -= 1
        elif former is GroupState.CLAIMED:
            del self.claimed[group]
        elif former in _UNPLACED_STATES:
            del self.unplaced[key][group]
        if group.state is GroupState.ENDED:
            self._ended[key] += 1
        elif group.state is GroupState.CLAIMED:
            self.claimed[group] = None
        elif group.state in _UNPLACED_STATES:
            self.unplaced[key][group] = None

    def group_of(self, task: TaskId) -> Group | None:
        """Returns the group of a task, None when the job has no such task."""
        groups = self.groups.get((task.occurrence, task.step))
        if groups is None or task.index >= self.job.steps[task.step].count:
            return None
        return groups[0] if groups[0].step.gang else groups[task.index]

    def all_groups(self) -> list[Group]:
        """Returns the groups of all steps."""
        return [each for part in self.groups.values() for each in part]

    def is_step_done(self, occurrence: int, number: int) -> bool:
        """Returns whether all groups of a step have ended."""
        key = occurrence, number
        return self._ended[key] == len(self.groups[key])

    @property
    def is_done(self) -> bool:
        """Whether all groups have ended."""
        return all(self.is_step_done(*key) for key in self.groups)


def can_stop(group: Group) -> bool:
    """Returns whether this system may stop a group."""
    return can_stop_all([group])


def can_stop_all(groups: Iterable[Group]) -> bool:
    """Returns whether this system may stop groups at the same time.

    A long-running step may limit how many of its tasks are stopped at the same
    time. Tasks that are not serving for another reason count as well.
    """
    stopped = set(groups)
    return all(
        _missed_with(each, stopped) <= each.step.may_miss
        for each in stopped
        if each.step.may_miss
    )


def _missed_with(group: Group, stopped: set[Group]) -> int:
    """Returns how many groups of a step are away once some are stopped."""
    siblings = group.job.groups[group.occurrence, group.number]
    return sum(each in stopped or not each.is_serving for each in siblings)
