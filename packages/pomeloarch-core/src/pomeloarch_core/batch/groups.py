"""Groups of tasks, which are the unit that is placed, and their jobs."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Iterator

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
# Limit on the waiting groups of a step that are made at a time. It is more than
# one round of placing starts.
MAX_WAITING_GROUPS = 1024
# How many times as many there may be with those that can't be placed yet.
MAX_HELD_FACTOR = 4
# Limit on the steps of a job's occurrences that are open at a time.
MAX_OPEN_STEPS = 256


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

    # A leader keeps thousands of waiting groups.
    __slots__ = (
        "_state",
        "away_since",
        "checkpoint",
        "compared",
        "done_at",
        "failed_on",
        "failed_runs",
        "indices",
        "job",
        "members",
        "move_count",
        "not_before",
        "number",
        "occurrence",
        "placement_change",
        "ready_at",
        "recovery_pending",
        "replan_at",
        "reserved_until",
        "reserved_workers",
        "resumed",
        "run",
        "started_at",
        "step",
        "wait_reason",
    )

    def __init__(
        self,
        job: JobEntry,
        occurrence: int,
        number: int,
        indices: tuple[int, ...],
        state: GroupState = GroupState.WAITING,
    ) -> None:
        """Creates a group that is not ready yet, or one that has ended."""
        self.job = job
        self.occurrence = occurrence
        self.number = number
        self.indices = indices
        self.step: Step = job.job.steps[number]
        self._state = state
        self.run = RunNumber(0)
        self.members: dict[int, Member] = {}
        self.checkpoint = ""
        self.failed_runs: frozenset[int] = frozenset()
        self.failed_on: frozenset[WorkerId] = frozenset()
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


class StepGroups:
    """The groups of a step in one occurrence, each made when it is needed.

    Attributes:
      made: the groups that were made and are not over, by position.
      ended_count: the number of groups that have ended for good.

    Args:
      entry: the job.
      occurrence: the occurrence.
      number: the number of the step.
    """

    __slots__ = (
        "_entry",
        "_next",
        "_number",
        "_occurrence",
        "ended_count",
        "made",
    )

    def __init__(self, entry: JobEntry, occurrence: int, number: int) -> None:
        """Creates no group yet."""
        self._entry = entry
        self._occurrence = occurrence
        self._number = number
        self._next = 0
        self.made: dict[int, Group] = {}
        self.ended_count = 0
        row = entry.row.steps.get(f"{occurrence}.{number}")
        if row is not None:
            done = int(row.done, 16)
            self.ended_count = done & 1 if self._is_gang else done.bit_count()

    @property
    def _is_gang(self) -> bool:
        return self._entry.job.steps[self._number].gang

    def __len__(self) -> int:
        """Returns the number of all groups, made or not."""
        return 1 if self._is_gang else self._entry.job.steps[self._number].count

    def __iter__(self) -> Iterator[Group]:
        """Iterates over the groups that were made and are not over."""
        return iter(self.made.values())

    def __getitem__(self, position: int) -> Group:
        """Returns a group, which is made if need be.

        Raises:
          IndexError: the step has no such group.
        """
        found = self.made.get(position)
        if found is not None:
            return found
        if not 0 <= position < len(self):
            raise IndexError(position)
        return self._make(position)

    def with_task(self, index: int) -> Group:
        """Returns the group that a task belongs to."""
        return self[self._position(index)]

    def _position(self, index: int) -> int:
        return 0 if self._is_gang else index

    @property
    def are_all_made(self) -> bool:
        """Whether no group is left to be made, or to be found as ended."""
        return self._next >= len(self)

    def make_next(self) -> bool:
        """Makes the next group that has not ended; returns whether one was."""
        while not self.are_all_made:
            position = self._next
            self._next += 1
            if position not in self.made and not self._is_done(position):
                self._make(position)
                return True
        return False

    def _is_done(self, position: int) -> bool:
        key = f"{self._occurrence}.{self._number}"
        row = self._entry.row.steps.get(key)
        return row is not None and row.is_done(position)

    def _make(self, position: int) -> Group:
        count = self._entry.job.steps[self._number].count
        indices = tuple(range(count)) if self._is_gang else (position,)
        is_over = self._is_done(position) or self._entry.is_over
        group = Group(
            self._entry,
            self._occurrence,
            self._number,
            indices,
            GroupState.ENDED if is_over else GroupState.WAITING,
        )
        if not is_over:
            self.made[position] = group
            self._entry.note_made(group)
        return group

    def discard(self, group: Group) -> None:
        """Forgets a group that is over; it would be made anew as ended."""
        self.made.pop(self._position(group.indices[0]), None)


class _LazySteps(dict[tuple[int, int], StepGroups]):
    """The groups of a job by occurrence and step, which are opened on use."""

    def __init__(self, entry: JobEntry) -> None:
        super().__init__()
        self._entry = entry

    def __missing__(self, key: tuple[int, int]) -> StepGroups:
        found = self[key] = StepGroups(self._entry, *key)
        return found


class JobEntry:
    """A job and its groups, as far as they are needed by now.

    The groups of an occurrence are made when it is due, and those of a wide
    step a number at a time, so that work which waits takes hardly any memory.

    Attributes:
      job: the job as it was accepted.
      row: its state as decided; the latest changes may not be durable yet.
      queue: the settings of its queue.
      change: number of the row's last change.
      written: number of the last change that is durable.
      placement_change: number of the last change that named workers on which
        tasks may be started.
      groups: its groups by occurrence and step.
      unplaced: those made that wait or are ready, in the same way.
      claimed: its groups that have places but were not ordered to start.
      standing: its standing against its objective when last determined.
      maybe_started: whether an earlier scheduler may have started tasks of it.
      may_be_running: returns whether a run of an earlier scheduler may still be
        unknown for a group that was just made.
      accepted_at: when it was accepted, by the scheduler's clock.
      inherited: whether an earlier scheduler had the job.
      is_over: whether it has ended for good, with all its groups.
    """

    def __init__(
        self,
        job: BatchJob,
        row: JobRow,
        queue: Queue,
        inherited: bool,
        accepted_at: float,
        may_be_running: Callable[[Group], bool] = lambda group: True,
    ) -> None:
        """Creates a job; the groups that its row marks as done have ended."""
        self.job = job
        self.accepted_at = accepted_at
        self.inherited = inherited
        self.row = row
        self.queue = queue
        self.maybe_started = inherited and not row.unplaced
        self.may_be_running = may_be_running
        self.standing = 0
        self.change = 0
        self.written = 0
        self.placement_change = 0
        self.is_over = False
        self.groups = _LazySteps(self)
        self.unplaced: dict[tuple[int, int], dict[Group, None]] = {}
        self.claimed: dict[Group, None] = {}
        self._next_occurrence = 0
        # The occurrences in which a step has ended, as bits, by step.
        self._done_steps = [0] * len(job.steps)
        self._steps_left = len(job.steps) * job.occurrence_count
        for key in row.steps:
            occurrence, number = map(int, key.split("."))
            self._note_ended(occurrence, number)
        self.open_due(0.0)

    def open_due(self, wall: float) -> None:
        """Opens the steps of the occurrences that are due.

        Args:
          wall: the time of the wall clock, in seconds.
        """
        while (
            self._next_occurrence < self.job.occurrence_count
            and len(self.unplaced) < MAX_OPEN_STEPS
            and self.job.due_at(self._next_occurrence) <= wall
        ):
            occurrence = self._next_occurrence
            self._next_occurrence += 1
            for number in range(len(self.job.steps)):
                if not self.is_step_done(occurrence, number):
                    self.unplaced.setdefault((occurrence, number), {})

    def make_waiting(self, occurrence: int, number: int, budget: int) -> int:
        """Makes waiting groups of an open step, up to `MAX_WAITING_GROUPS`.

        Those that can't be placed yet, since an earlier run of them may still
        be unknown, don't count.

        Args:
          occurrence: the occurrence.
          number: the number of the step.
          budget: how many groups may be made; if none waits, one is made in any
            case.

        Returns:
          How many were made.
        """
        groups = self.groups[occurrence, number]
        if groups.are_all_made:
            return 0
        waiting = self.unplaced[occurrence, number]
        opened = self.row.open_starts
        free = sum(
            not each.recovery_pending and not (opened and each.key in opened)
            for each in waiting
        )
        limit = MAX_WAITING_GROUPS - free
        limit = min(limit, MAX_HELD_FACTOR * MAX_WAITING_GROUPS - len(waiting))
        limit = min(limit, max(budget, 1 if not free else 0))
        made = 0
        while made < limit and groups.make_next():
            made += 1
        return made

    def note_made(self, group: Group) -> None:
        """Takes in a group that was made, with what its row says of it."""
        key = group.occurrence, group.number
        self.unplaced.setdefault(key, {})[group] = None
        group.recovery_pending = self.maybe_started and self.may_be_running(
            group
        )
        settled = self.row.steps.get(f"{group.occurrence}.{group.number}")
        if settled is not None:
            first = str(group.indices[0])
            group.failed_runs = frozenset(settled.failures.get(first, ()))
            group.checkpoint = settled.checkpoints.get(first, "")

    def note_state(self, group: Group, former: GroupState) -> None:
        """Takes in that a group has changed its state."""
        key = group.occurrence, group.number
        if former is GroupState.ENDED:
            self.groups[key].ended_count -= 1
        elif former is GroupState.CLAIMED:
            del self.claimed[group]
        elif former in _UNPLACED_STATES:
            del self.unplaced[key][group]
        if group.state is GroupState.ENDED:
            self.groups[key].ended_count += 1
            self._note_ended(*key)
            self.discard_if_over(group)
        elif group.state is GroupState.CLAIMED:
            self.claimed[group] = None
        elif group.state in _UNPLACED_STATES:
            self.unplaced.setdefault(key, {})[group] = None

    def discard_if_over(self, group: Group) -> None:
        """Forgets a group that has ended and has nothing left on a worker."""
        key = group.occurrence, group.number
        if group.state is not GroupState.ENDED or group.members:
            return
        self.groups[key].discard(group)
        if self.is_step_done(*key) and not self.groups[key].made:
            del self.groups[key]
            self.unplaced.pop(key, None)

    def _note_ended(self, occurrence: int, number: int) -> None:
        """Notes that a step has ended, if all its groups have."""
        groups = self.groups[occurrence, number]
        if groups.ended_count < len(groups):
            return
        if not self.is_step_done(occurrence, number):
            self._done_steps[number] |= 1 << occurrence
            self._steps_left -= 1
        if not groups.made:
            del self.groups[occurrence, number]

    def group_of(self, task: TaskId) -> Group | None:
        """Returns the group of a task, None when the job has no such task."""
        if not (
            0 <= task.occurrence < self.job.occurrence_count
            and 0 <= task.step < len(self.job.steps)
            and 0 <= task.index < self.job.steps[task.step].count
        ):
            return None
        return self._with_task(task.occurrence, task.step, task.index)

    def group_at(self, key: str) -> Group:
        """Returns the group with a key, see `Group.key`."""
        occurrence, number, first = map(int, key.split("."))
        return self._with_task(occurrence, number, first)

    def _with_task(self, occurrence: int, number: int, index: int) -> Group:
        group = self.groups[occurrence, number].with_task(index)
        # A step that is over was opened for this only.
        self.discard_if_over(group)
        return group

    def all_groups(self) -> list[Group]:
        """Returns the groups of all steps that were made and are not over."""
        return [each for part in self.groups.values() for each in part]

    def is_step_done(self, occurrence: int, number: int) -> bool:
        """Returns whether all groups of a step have ended."""
        return bool(self._done_steps[number] >> occurrence & 1)

    @property
    def is_done(self) -> bool:
        """Whether all groups have ended."""
        return not self._steps_left


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
    missed = sum(each in stopped or not each.is_serving for each in siblings)
    return missed + len(siblings) - len(siblings.made)
