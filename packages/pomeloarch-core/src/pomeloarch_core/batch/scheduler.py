"""The scheduler of batch jobs: it takes in events and returns decisions.

Its state can be rebuilt from the rows of jobs and from the reports of workers.
A successor in a later term adopts the runs that it finds, and starts nothing
that may still run on a worker that it hasn't heard from.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from functools import singledispatchmethod

from pomeloarch_core.batch.advice import AdviceCache
from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.dispatching import MAX_OPEN_NAMES, Dispatcher
from pomeloarch_core.batch.estimates import DispatchTimes, RunEstimator
from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import (
    Group,
    GroupState,
    JobEntry,
    Member,
    can_stop,
    can_stop_all,
)
from pomeloarch_core.batch.jobs import JobRegistry
from pomeloarch_core.batch.messages import (
    AdviceGiven,
    AdviceMissing,
    CancelForgotten,
    CancelRequested,
    CatalogueChanged,
    Decision,
    Event,
    Evidence,
    JobAccepted,
    LogEntry,
    RosterEntry,
    RosterLoaded,
    RosterWritten,
    RowWritten,
    StartAnswered,
    StartOutcome,
    StopAnswered,
    TaskId,
    Tick,
    UpkeepOrdered,
    UpkeepRefused,
    WorkerInfo,
    WorkerLate,
    WorkerReported,
    WorkerSilent,
    WorkersListed,
    WorkersShuttingDown,
    WorkerTakenDown,
)
from pomeloarch_core.batch.model import NO_RESOURCES
from pomeloarch_core.batch.objectives import (
    RunTimes,
    critical_path_s,
    objective_s,
)
from pomeloarch_core.batch.open_starts import OpenStarts
from pomeloarch_core.batch.pacing import Pacer
from pomeloarch_core.batch.recovery import RecoveryTracker
from pomeloarch_core.batch.reports import ReportProcessor
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.batch.runs import REFUSED_PAUSE_S, RunController
from pomeloarch_core.ids import (
    Epoch,
    JobId,
    ServiceName,
    WorkerId,
    ZoneName,
)

# Time between two log entries about the whole fleet, in seconds.
SUMMARY_INTERVAL_S = 2.0


class BatchScheduler:
    """Decides for all services during one term.

    Attributes:
      open_starts: the orders to start without an answer, which those who send
        the orders keep up to date.

    Args:
      term: number of this scheduler's term; part of the number of each run.
      catalogue: the configuration in force.
      wall_offset: time of the wall clock minus time of the scheduler's clock,
        in seconds.
      times: time limits of the deployment.
      max_open_names: limit on the workers that a job's row names for starts
        that may be open.
    """

    def __init__(
        self,
        term: Epoch,
        catalogue: Catalogue,
        wall_offset: float,
        times: DispatchTimes | None = None,
        max_open_names: int = MAX_OPEN_NAMES,
    ) -> None:
        """Creates a scheduler that knows neither jobs nor workers."""
        self._catalogue = catalogue
        self._out: list[Decision] = []
        self._fleet = Fleet()
        self._times = RunTimes()
        self._advice = AdviceCache()
        self.open_starts = OpenStarts()
        self._pacer = Pacer()
        self._runs = RunController(
            term, self._fleet, self._times, self._advice, self._out
        )
        cfg = times or DispatchTimes()
        self._estimator = RunEstimator(self._times, cfg)
        self._dispatcher = Dispatcher(
            self._fleet,
            self._runs,
            self._estimator,
            self._advice,
            self.open_starts,
            self._out,
            cfg,
            max_open_names,
            lambda now: self._recovery.log_made(now),
        )
        self._jobs = JobRegistry(
            self._runs, self._advice, self.open_starts, self._out, wall_offset
        )
        self._reports = ReportProcessor(
            self._fleet, self._jobs, self._runs, self.open_starts, self._out
        )
        self._recovery = RecoveryTracker(
            self._fleet, self._jobs, self._runs, self._out
        )
        self._early_cancels: set[JobId] = set()
        self._summary_due = 0.0
        self._listed_once = False
        self._roster_changed = False
        self._dirty = True

    def handle(self, event: Event, now: float) -> list[Decision]:
        """Takes in an event and returns the decisions to carry out."""
        self._on(event, now)
        if self._listed_once and not self._recovery.is_complete:
            self._dirty |= self._recovery.update(now)
        return self._take_decisions(now)

    def place(self, now: float) -> list[Decision]:
        """Places the groups for which there is room; returns the decisions.

        It is to be called soon after events, while `needs_placing` is true.
        """
        self._schedule(now)
        return self._take_decisions(now)

    @property
    def needs_placing(self) -> bool:
        """Whether anything has changed since the last placing."""
        return self._dirty

    def _take_decisions(self, now: float) -> list[Decision]:
        self._recovery.log_made(now)
        decisions = list(self._out)
        self._out.clear()
        return decisions

    def acknowledged_up_to(self, worker_id: WorkerId) -> int:
        """Returns the number up to which a worker may forget its ends."""
        worker = self._fleet.get(worker_id)
        return 0 if worker is None else worker.acknowledged_up_to()

    def needs_polling(self, worker_id: WorkerId) -> bool:
        """Returns whether a worker has to be asked for reports.

        That is so while it may run or report something, and while its answer
        would show whether its availability zone is cut off or that it can be
        used again.
        """
        worker = self._fleet.get(worker_id)
        return worker is not None and bool(
            worker.info.availability_zone in self._fleet.unresponsive_zones()
            or not worker.reported
            or worker.silent
            or worker.late_since is not None
            or worker.groups
            or worker.unaccounted_runs
            or worker.pending_ends
            or worker_id in self._dispatcher.awaited_reports
        )

    def needs_frequent_reports(self, worker_id: WorkerId) -> bool:
        """Returns whether a worker's reports are needed often.

        They are needed where tasks are paced and where an urgent run could
        stall.
        """
        worker = self._fleet.get(worker_id)
        return worker is not None and (
            self._pacer.has_paced_tasks(worker)
            or any(
                each.job.queue.priority == 0 and not each.step.long_running
                for each in worker.groups
            )
        )

    def roster(self) -> dict[WorkerId, RosterEntry]:
        """Returns the workers that a successor has to know."""
        return {each.worker_id: each.roster_entry() for each in self._fleet}

    def roster_if_changed(self) -> dict[WorkerId, RosterEntry] | None:
        """Returns the roster if it has changed since the last call.

        Only workers that fell silent or answered again count as a change.
        """
        changed, self._roster_changed = self._roster_changed, False
        return self.roster() if changed else None

    def can_end_tasks(self, worker_id: WorkerId, now: float) -> bool:
        """Returns whether all tasks of a worker may be ended.

        Long-running steps may limit how many of their tasks are stopped at the
        same time. Until a worker has reported all that it has, or the leases of
        its runs have certainly ended, it may have more tasks than are known.
        """
        worker = self._fleet.get(worker_id)
        if worker is None:
            return True
        known = worker.reported or worker.has_lapsed(now)
        return known and can_stop_all(worker.groups)

    @property
    def group_count(self) -> int:
        """The number of groups in memory."""
        return sum(len(entry.all_groups()) for entry in self._jobs)

    def busy_s(self, worker_id: WorkerId, now: float) -> float:
        """Returns how long a worker's runs will likely take, in seconds."""
        worker = self._fleet.get(worker_id)
        if worker is None:
            return 0.0
        return self._estimator.busy_s(worker, now)

    def is_start_wanted(self, task: TaskId, run: int) -> bool:
        """Returns whether a start that has no answer yet is still wanted."""
        return self.is_current_run(task, run)

    def is_current_run(self, task: TaskId, run: int) -> bool:
        """Returns whether a run was ordered to start and not stopped since."""
        group = self._jobs.group_of(task)
        return (
            group is not None
            and group.run == run
            and group.state is GroupState.STARTED
            and task.index in group.members
        )

    @singledispatchmethod
    def _on(self, event: object, now: float) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_on.register
    def _on_accepted(self, event: JobAccepted, now: float) -> None:
        job = event.job
        if event.inherited:
            self._expect_earlier_starts(event)
        known = self._jobs.get(job.job_id) is not None
        if known or event.row.status.is_final:
            return
        queue = self._catalogue.queues.get(job.queue) or job.accepted_under
        accepted_at = job.accepted_at - self._jobs.wall_offset
        entry = JobEntry(
            job,
            event.row,
            queue,
            event.inherited,
            accepted_at,
            self._recovery.note_made,
        )
        self._jobs.add(entry)
        self._out.append(LogEntry("job taken", self._taken_fields(entry, now)))
        self._dirty = True
        if job.job_id in self._early_cancels:
            self._cancel(entry, now)

    def _expect_earlier_starts(self, event: JobAccepted) -> None:
        """Notes the starts of an earlier scheduler that may still be open."""
        for key in event.row.open_starts:
            occurrence, number, first = map(int, key.split("."))
            step = event.job.steps[number]
            indices = range(step.count) if step.gang else (first,)
            for position, index in enumerate(indices):
                task = TaskId(event.job.job_id, occurrence, number, index)
                for worker_id in event.row.named_workers(key, position):
                    self.open_starts.add_earlier(task, worker_id)

    def _taken_fields(self, entry: JobEntry, now: float) -> dict[str, object]:
        steps = entry.job.steps
        return {
            "job": entry.job.job_id,
            "queue": entry.queue.name,
            "priority": entry.queue.priority,
            "tasks": sum(step.count for step in steps),
            "accelerators": max(
                step.count * step.need.accelerators for step in steps
            ),
            "gang": any(step.gang for step in steps),
            "chain_s": round(critical_path_s(entry, self._times), 3),
            "objective_s": round(objective_s(entry, self._times), 3),
            "age_s": round(now - entry.accepted_at, 3),
            "in_doubt": entry.maybe_started,
        }

    @_on.register
    def _on_cancel(self, event: CancelRequested, now: float) -> None:
        entry = self._jobs.get(event.job_id)
        if entry is None:
            self._early_cancels.add(event.job_id)
        elif not entry.row.status.is_final:
            self._cancel(entry, now)

    @_on.register
    def _on_cancel_forgotten(self, event: CancelForgotten, now: float) -> None:
        self._early_cancels.discard(event.job_id)

    def _cancel(self, entry: JobEntry, now: float) -> None:
        self._jobs.finish(
            entry, JobStatus.CANCELLED, "cancelled by a caller", now
        )
        self._dirty = True

    @_on.register
    def _on_catalogue(self, event: CatalogueChanged, now: float) -> None:
        self._catalogue = event.catalogue
        for entry in self._jobs:
            queue = event.catalogue.queues.get(entry.job.queue)
            if queue is not None:
                entry.queue = queue
        self._dirty = True

    @_on.register
    def _on_listed(self, event: WorkersListed, now: float) -> None:
        self._listed_once = True
        listed = {each.worker_id for each in event.workers}
        for info in event.workers:
            self._evacuate_if_leaving(self._fleet.update_listed(info), now)
        for worker in list(self._fleet):
            if worker.worker_id not in listed:
                if worker.listed:
                    self._log_unlisted(worker)
                worker.listed = False
                if worker.unlisted_at is None:
                    worker.unlisted_at = now
                self._forget_if_empty(worker, now)
        self._dirty = True

    def _evacuate_if_leaving(self, worker: Worker, now: float) -> None:
        """Stops runs that would end with a worker that is about to leave.

        Otherwise they could start elsewhere only once their leases have
        certainly run out. A planned leave waits for runs to end, but not for
        long-running tasks. This is decided once, when the worker's runs are
        known.
        """
        leaving = worker.info.draining and not worker.evacuated
        if not leaving or worker.heard_at is None:
            return
        worker.evacuated = True
        for group in list(worker.groups):
            claimed = group.state is GroupState.CLAIMED
            started = group.state is GroupState.STARTED
            if claimed or (
                started and self._estimator.would_end_with(worker, group, now)
            ):
                left_s = worker.info.remaining_s
                reason = f"worker {worker.worker_id} leaves in {left_s} s"
                self._runs.stop_run(group, reason, now)

    def _log_unlisted(self, worker: Worker) -> None:
        fields = {
            "worker": worker.worker_id,
            "draining": worker.info.draining,
            "groups": len(worker.groups),
        }
        self._out.append(LogEntry("worker off the list", fields))

    @_on.register
    def _on_roster_loaded(self, event: RosterLoaded, now: float) -> None:
        for worker_id, entry in event.entries.items():
            self._fleet.add_remembered(
                worker_from_roster(worker_id, entry.address), entry
            )

    @_on.register
    def _on_roster_written(self, event: RosterWritten, now: float) -> None:
        for worker in self._fleet:
            worker.enrolled = worker.worker_id in event.worker_ids
        self._dirty = True

    @_on.register
    def _on_reported(self, event: WorkerReported, now: float) -> None:
        worker = self._fleet.get(event.worker_id)
        if worker is None:
            return
        self._roster_changed |= worker.may_run is not None
        self._reports.process(worker, event, now)
        self._evacuate_if_leaving(worker, now)
        self._out += self._pacer.observe(worker, now)
        self._dirty = True

    @_on.register
    def _on_silent(self, event: WorkerSilent, now: float) -> None:
        worker = self._fleet.get(event.worker_id)
        if worker is None:
            return
        worker.mark_silent(event.lapses_at, event.gone)
        _mark_maybe_ended(worker, now)
        self._roster_changed = True
        self._out.append(
            LogEntry(
                "worker silent",
                {
                    "worker": worker.worker_id,
                    "lapses_in_s": round(event.lapses_at - now, 3),
                    "gone": event.gone,
                },
            )
        )
        self._release_claims(worker, "its worker is silent", now)
        if event.gone:
            # Another worker at the address refuses the orders to this one.
            self.open_starts.settle_where(
                lambda _task, copy: copy.worker_id == worker.worker_id
            )
            self._remove_lost_runs(worker, now)
            self._forget_if_empty(worker, now)
        self._dirty = True

    @_on.register
    def _on_late(self, event: WorkerLate, now: float) -> None:
        worker = self._fleet.get(event.worker_id)
        if worker is None or worker.late_since is not None:
            return
        self._fleet.mark_late(worker, now)
        self._dirty = True
        zone = worker.info.availability_zone
        cut_off = zone in self._fleet.unresponsive_zones()
        for other in self._fleet:
            if other is worker or (
                cut_off and other.info.availability_zone == zone
            ):
                self._release_claims(other, "an answer is late there", now)

    def _release_claims(self, worker: Worker, reason: str, now: float) -> None:
        """Releases the claims of groups that were not ordered to start yet."""
        for group in list(worker.groups):
            if group.state is GroupState.CLAIMED:
                self._runs.stop_run(group, reason, now)

    def _clear_late(
        self, worker_id: WorkerId, outcome: StartOutcome | None = None
    ) -> None:
        """Notes that a worker answers again, unless the order got no answer."""
        worker = self._fleet.get(worker_id)
        if worker is not None and outcome is not StartOutcome.NO_ANSWER:
            worker.late_since = None

    def _remove_lost_runs(self, worker: Worker, now: float) -> None:
        """Removes all runs of a worker: none of them exists any longer."""
        evidence = (
            Evidence.WORKER_GONE if worker.gone else Evidence.LEASE_LAPSED
        )
        self._runs.drop_unaccounted_runs(worker, evidence, now)
        for group in list(worker.groups):
            if group.state is GroupState.CLAIMED:
                self._runs.stop_run(group, "its worker has ended", now)
                continue
            for index, member in list(group.members.items()):
                if member.worker_id == worker.worker_id:
                    self._runs.remove_member(
                        group, index, evidence, "its lease has run out", now
                    )

    def _forget_if_empty(self, worker: Worker, now: float) -> None:
        """Forgets a worker off the list that runs and reports nothing."""
        known = worker.reported or worker.has_lapsed(now)
        if (
            worker.listed
            or worker.groups
            or worker.unaccounted_runs
            or worker.pending_ends
            or self.open_starts.has_copies_on(worker.worker_id)
            or not known
        ):
            return
        self._fleet.forget(worker.worker_id)
        self._advice.forget_worker(worker.worker_id)

    @_on.register
    def _on_start_answered(self, event: StartAnswered, now: float) -> None:
        self._clear_late(event.worker_id, event.outcome)
        group = self._jobs.group_of(event.task)
        if group is None:
            return
        member = group.members.get(event.task.index)
        if (
            member is None
            or member.worker_id != event.worker_id
            or member.run != event.run
        ):
            return
        member.unanswered = event.unanswered
        if event.outcome is StartOutcome.STARTED:
            self._runs.confirm_member(group, event.task.index, now)
            return
        no_answer = event.outcome is StartOutcome.NO_ANSWER
        if no_answer and member.started_at is not None:
            # Only the answers were lost: a report has shown the run.
            return
        self._out.append(
            LogEntry(
                "start refused",
                {
                    "task": str(event.task),
                    "run": event.run,
                    "worker": event.worker_id,
                    "outcome": event.outcome.value,
                    "settled": event.settled,
                    "incarnation": member.incarnation,
                    "unanswered": event.unanswered,
                },
            )
        )
        if event.outcome is StartOutcome.OLD_RUN:
            # An earlier copy of the order, whose answer was lost, may have
            # started the run, which has ended since: the next report says how.
            member.started_at = member.started_at or now
            return
        group.not_before = now + REFUSED_PAUSE_S
        self._avoid_on_retry(group, event, now)
        reason = f"its start was answered with {event.outcome.value}"
        if event.settled:
            self._runs.remove_member(
                group, event.task.index, Evidence.START_REFUSED, reason, now
            )
        elif group.state is GroupState.STARTED:
            # The run may still begin. The task keeps its place until the order
            # to stop it is answered and a later report doesn't list the run.
            where = f"task {event.task.index} on worker {event.worker_id}"
            self._runs.stop_run(group, f"{where}: {reason}", now)
        self._dirty = True

    def _avoid_on_retry(
        self, group: Group, event: StartAnswered, now: float
    ) -> None:
        """Has the next run avoid the cause of a refused start."""
        if event.outcome is StartOutcome.NO_ANSWER:
            group.failed_on |= {event.worker_id}
        elif event.outcome is StartOutcome.BAD_TICKET:
            self._advice.discard_ticket(group, event.worker_id)
        elif event.outcome is StartOutcome.UNHEALTHY:
            worker = self._fleet.get(event.worker_id)
            if worker is not None:
                worker.suspended_until = now + 1.0

    @_on.register
    def _on_stop_answered(self, event: StopAnswered, now: float) -> None:
        self._clear_late(event.worker_id)
        group = self._jobs.group_of(event.task)
        if group is None:
            return
        member = group.members.get(event.task.index)
        if (
            member is not None
            and member.worker_id == event.worker_id
            and member.run == event.run
        ):
            member.stopped_at = member.stopped_at or now

    @_on.register
    def _on_advice(self, event: AdviceGiven, now: float) -> None:
        self._advice.record_answer(
            event.question, event.tickets, event.valid_until
        )
        self._dirty = True

    @_on.register
    def _on_no_advice(self, event: AdviceMissing, now: float) -> None:
        self._advice.record_no_answer(event.step)
        self._dirty = True

    @_on.register
    def _on_upkeep_ordered(self, event: UpkeepOrdered, now: float) -> None:
        worker = self._fleet.get(event.worker_id)
        if worker is not None:
            _mark_maybe_ended(worker, float("inf"))

    @_on.register(UpkeepRefused)
    @_on.register(WorkerTakenDown)
    def _on_upkeep_answered(
        self, event: UpkeepRefused | WorkerTakenDown, now: float
    ) -> None:
        worker = self._fleet.get(event.worker_id)
        if worker is not None:
            for member in _members_on(worker):
                member.maybe_ended_at = now

    @_on.register
    def _on_shutting_down(self, event: WorkersShuttingDown, now: float) -> None:
        for worker in self._fleet:
            worker.shutting_down = worker.worker_id in event.worker_ids
            if worker.shutting_down:
                self._move_excess_tasks(worker, now)
        self._dirty = True

    def _move_excess_tasks(self, worker: Worker, now: float) -> None:
        """Moves tasks off a worker that has more of a step than may be away.

        Its machine could otherwise never go down.
        """
        for group in list(worker.groups):
            siblings = group.job.groups[group.occurrence, group.number]
            here = sum(
                each in worker.groups and each.state is GroupState.STARTED
                for each in siblings
            )
            if (
                0 < group.step.may_miss < here
                and group.state is GroupState.STARTED
                and can_stop(group)
            ):
                reason = f"worker {worker.worker_id} goes down with too many"
                self._runs.stop_run(group, reason, now)

    @_on.register
    def _on_written(self, event: RowWritten, now: float) -> None:
        entry = self._jobs.record_written(event.job_id, event.change, now)
        if entry is not None:
            self._dispatcher.start_claimed(entry, now)
            self._jobs.forget_if_finished(entry)

    @_on.register
    def _on_tick(self, event: Tick, now: float) -> None:
        self._jobs.wall_offset = event.wall - now
        if event.list_confirmed_at is not None:
            self._fleet.confirm_list(event.list_confirmed_at)
        self._jobs.release_ends(now)
        for worker in list(self._fleet):
            if worker.has_lapsed(now):
                self._remove_lost_runs(worker, now)
                self._forget_if_empty(worker, now)
        for entry in list(self._jobs):
            self._jobs.forget_if_finished(entry)
        self._dirty = True
        if now >= self._summary_due:
            self._summary_due = now + SUMMARY_INTERVAL_S
            self._log_summary(now)

    def _log_summary(self, now: float) -> None:
        """Logs how full the fleet is and how many jobs wait."""
        waiting: dict[str, int] = defaultdict(int)
        for entry in self._jobs:
            if any(g.state is GroupState.READY for g in entry.all_groups()):
                waiting[entry.queue.name] += 1
        services = {each.info.service for each in self._fleet}
        fields: dict[str, object] = {
            "workers": sum(each.is_usable(now) for each in self._fleet),
            "jobs": len(self._jobs),
            "groups": self.group_count,
            "jobs_waiting": dict(waiting),
            "in_use": {
                each: round(self._fleet.share_in_use(each), 3)
                for each in services
            },
        }
        self._out.append(LogEntry("fleet", fields))

    def _schedule(self, now: float) -> None:
        """Places groups if anything has changed; ends jobs without attempts."""
        if not self._dirty:
            return
        self._dirty = False
        jobs = [each for each in self._jobs if not each.row.status.is_final]
        wall = now + self._jobs.wall_offset
        for entry in self._dispatcher.dispatch(
            jobs, self._catalogue, now, wall
        ):
            self._jobs.finish(entry, JobStatus.FAILED, "attempts used up", now)
            self._dirty = True


def _mark_maybe_ended(worker: Worker, at: float) -> None:
    """Notes that the runs of a worker may end until a time, in seconds."""
    for member in _members_on(worker):
        member.maybe_ended_at = max(at, member.maybe_ended_at or at)


def _members_on(worker: Worker) -> Iterator[Member]:
    """Yields the members of groups that are on a worker."""
    for group in worker.groups:
        for member in group.members.values():
            if member.worker_id == worker.worker_id:
                yield member


def worker_from_roster(worker_id: WorkerId, address: str) -> WorkerInfo:
    """Returns a worker of which the roster gives only the address."""
    return WorkerInfo(
        worker_id, ServiceName(""), address, ZoneName(""), NO_RESOURCES
    )
