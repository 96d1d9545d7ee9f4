"""The scheduler of batch jobs: events in, decisions out.

What it believes can be rebuilt from the rows of jobs and from what workers
report: a successor in a later term adopts what runs, and starts nothing
that may still run on a worker that it hasn't heard of.
"""

from __future__ import annotations

from collections import defaultdict
from functools import singledispatchmethod

from pomeloarch_core.batch.advice import AdviceBook
from pomeloarch_core.batch.catalogue import Catalogue
from pomeloarch_core.batch.dispatching import Dispatcher
from pomeloarch_core.batch.estimates import DispatchTimes, Expectations
from pomeloarch_core.batch.fleet import Fleet, Worker
from pomeloarch_core.batch.groups import (
    Group,
    GroupState,
    JobEntry,
    may_stop,
)
from pomeloarch_core.batch.jobs import Jobs
from pomeloarch_core.batch.messages import (
    AdviceGiven,
    AdviceMissing,
    CancelRequested,
    CatalogueChanged,
    Decision,
    Event,
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
    WorkerInfo,
    WorkerLate,
    WorkerReported,
    WorkerSilent,
    WorkersListed,
    WorkersShuttingDown,
)
from pomeloarch_core.batch.model import NO_RESOURCES
from pomeloarch_core.batch.objectives import (
    RunTimes,
    chain_s,
    objective_s,
)
from pomeloarch_core.batch.pacing import Pacer
from pomeloarch_core.batch.recovery import Doubts
from pomeloarch_core.batch.reports import Reports
from pomeloarch_core.batch.rows import JobStatus
from pomeloarch_core.batch.runs import REFUSED_PAUSE_S, Runs
from pomeloarch_core.ids import (
    Epoch,
    JobId,
    ServiceName,
    WorkerId,
    ZoneName,
)

# How often the state of the fleet is written to the log, in seconds.
SUMMARY_EVERY_S = 2.0


class BatchScheduler:
    """Decides for all services in one term.

    Args:
      term: the number of this scheduler's term; part of each run's number.
      catalogue: the configuration in force.
      wall_offset: wall clock less the clock of `now`, in seconds.
      times: times of the deployment.
    """

    def __init__(
        self,
        term: Epoch,
        catalogue: Catalogue,
        wall_offset: float,
        times: DispatchTimes | None = None,
    ) -> None:
        """Makes a scheduler that knows neither jobs nor workers."""
        self._catalogue = catalogue
        self._out: list[Decision] = []
        self._fleet = Fleet()
        self._times = RunTimes()
        self._advice = AdviceBook()
        self._pacer = Pacer()
        self._runs = Runs(
            term, self._fleet, self._times, self._advice, self._out
        )
        cfg = times or DispatchTimes()
        self._expected = Expectations(self._times, cfg)
        self._dispatcher = Dispatcher(
            self._fleet,
            self._runs,
            self._expected,
            self._advice,
            self._out,
            cfg,
        )
        self._jobs = Jobs(self._runs, self._advice, self._out, wall_offset)
        self._reports = Reports(self._jobs, self._runs, self._out)
        self._doubts = Doubts(self._fleet, self._jobs, self._runs, self._out)
        self._early_cancels: set[JobId] = set()
        self._summary_due = 0.0
        self._listed_once = False
        self._roster_changed = False
        self._dirty = True

    def handle(self, event: Event, now: float) -> list[Decision]:
        """Takes an event in and returns what has to be done, in order."""
        self._on(event, now)
        if self._listed_once and not self._doubts.over:
            self._dirty |= self._doubts.update(now)
        return self._take_out()

    def place(self, now: float) -> list[Decision]:
        """Places what can be placed; called soon after events."""
        self._schedule(now)
        return self._take_out()

    @property
    def wants_placing(self) -> bool:
        """Whether something has changed since the last placing."""
        return self._dirty

    def _take_out(self) -> list[Decision]:
        decisions = list(self._out)
        self._out.clear()
        return decisions

    def acknowledged(self, worker_id: WorkerId) -> int:
        """Returns up to which end a worker may forget its ends."""
        worker = self._fleet.get(worker_id)
        return 0 if worker is None else worker.acknowledged()

    def occupied(self, worker_id: WorkerId) -> bool:
        """Whether a worker has to be asked.

        It may run or report something, or its answer tells whether its
        availability zone is cut off, or that it is of use again.
        """
        worker = self._fleet.get(worker_id)
        return worker is not None and bool(
            worker.info.availability_zone in self._fleet.zones_in_doubt()
            or not worker.reported
            or worker.silent
            or worker.late_since is not None
            or worker.groups
            or worker.strangers
            or worker.pending_ends
        )

    def watches(self, worker_id: WorkerId) -> bool:
        """Whether a worker's reports are needed often.

        They are where tasks are paced, and where urgent work could be held up.
        """
        worker = self._fleet.get(worker_id)
        return worker is not None and (
            self._pacer.watches(worker)
            or any(
                each.job.queue.priority == 0 and not each.step.long_running
                for each in worker.groups
            )
        )

    def roster(self) -> dict[WorkerId, RosterEntry]:
        """Returns the workers that a successor has to know."""
        return {each.worker_id: each.roster_entry() for each in self._fleet}

    def roster_if_changed(self) -> dict[WorkerId, RosterEntry] | None:
        """Returns the roster if workers fell silent or answered again."""
        changed, self._roster_changed = self._roster_changed, False
        return self.roster() if changed else None

    def may_end(self, worker_id: WorkerId) -> bool:
        """Whether ending all that a worker runs leaves enough at work."""
        worker = self._fleet.get(worker_id)
        return worker is None or all(may_stop(g) for g in worker.groups)

    def busy_s(self, worker_id: WorkerId, now: float) -> float:
        """Returns how long what runs on a worker will likely take, in s."""
        worker = self._fleet.get(worker_id)
        if worker is None:
            return 0.0
        return self._expected.busy_s(worker, now)

    def wants(self, task: TaskId, run: int) -> bool:
        """Whether a start that has no answer yet is still wanted."""
        group = self._jobs.group_of(task)
        return (
            group is not None
            and group.run == run
            and group.state is GroupState.STARTED
            and task.index in group.members
        )

    # ---- events

    @singledispatchmethod
    def _on(self, event: object, now: float) -> None:
        raise TypeError(f"unknown event {type(event).__name__}")

    @_on.register
    def _on_accepted(self, event: JobAccepted, now: float) -> None:
        job = event.job
        known = self._jobs.get(job.job_id) is not None
        if known or event.row.status.is_final:
            return
        queue = self._catalogue.queues.get(job.queue) or job.accepted_under
        accepted_at = job.accepted_at - self._jobs.wall_offset
        entry = JobEntry(job, event.row, queue, event.older, accepted_at)
        self._jobs.add(entry)
        self._out.append(LogEntry("job taken", self._taken_fields(entry, now)))
        self._dirty = True
        if job.job_id in self._early_cancels:
            self._cancel(entry, now)

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
            "chain_s": round(chain_s(entry, self._times), 3),
            "objective_s": round(objective_s(entry, self._times), 3),
            "age_s": round(now - entry.accepted_at, 3),
            "in_doubt": entry.older,
        }

    @_on.register
    def _on_cancel(self, event: CancelRequested, now: float) -> None:
        entry = self._jobs.get(event.job_id)
        if entry is None:
            self._early_cancels.add(event.job_id)
        elif not entry.row.status.is_final:
            self._cancel(entry, now)

    def _cancel(self, entry: JobEntry, now: float) -> None:
        self._jobs.finish(
            entry, JobStatus.CANCELLED, "a caller asked for it", now
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
            worker = self._fleet.listed(info)
            if info.draining and not worker.evacuated:
                worker.evacuated = True
                self._evacuate(worker, now)
        for worker in list(self._fleet):
            if worker.worker_id not in listed:
                if worker.listed:
                    self._note_unlisted(worker)
                worker.listed = False
                self._forget_if_empty(worker, now)
        self._dirty = True

    def _evacuate(self, worker: Worker, now: float) -> None:
        """Moves what would end with a worker that is about to leave.

        It could be started elsewhere only once its lease has certainly run
        out. A planned leave waits for what runs, but not for lasting tasks.
        """
        for group in list(worker.groups):
            claimed = group.state is GroupState.CLAIMED
            started = group.state is GroupState.STARTED
            if claimed or (
                started and self._expected.ends_with(worker, group, now)
            ):
                left_s = worker.info.remaining_s
                reason = f"worker {worker.worker_id} leaves in {left_s} s"
                self._runs.take_down(group, reason, now)

    def _note_unlisted(self, worker: Worker) -> None:
        fields = {
            "worker": worker.worker_id,
            "draining": worker.info.draining,
            "groups": len(worker.groups),
        }
        self._out.append(LogEntry("worker off the list", fields))

    @_on.register
    def _on_remembered(self, event: RosterLoaded, now: float) -> None:
        for worker_id, entry in event.entries.items():
            self._fleet.remembered(
                worker_from_roster(worker_id, entry.address), entry
            )

    @_on.register
    def _on_enrolled(self, event: RosterWritten, now: float) -> None:
        for worker in self._fleet:
            worker.enrolled = worker.worker_id in event.worker_ids
        self._dirty = True

    @_on.register
    def _on_reported(self, event: WorkerReported, now: float) -> None:
        worker = self._fleet.get(event.worker_id)
        if worker is None:
            return
        self._roster_changed |= worker.may_run is not None
        self._reports.take(worker, event, now)
        self._out += self._pacer.observe(worker, now)
        self._dirty = True

    @_on.register
    def _on_silent(self, event: WorkerSilent, now: float) -> None:
        worker = self._fleet.get(event.worker_id)
        if worker is None:
            return
        worker.fell_silent(event.lapses_at)
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
        self._give_up_claims(worker, "its worker is silent", now)
        if event.gone:
            self._lose(worker, now)
            self._forget_if_empty(worker, now)
        self._dirty = True

    @_on.register
    def _on_late(self, event: WorkerLate, now: float) -> None:
        worker = self._fleet.get(event.worker_id)
        if worker is None or worker.late_since is not None:
            return
        worker.late_since = now
        self._dirty = True
        zone = worker.info.availability_zone
        cut_off = zone in self._fleet.zones_in_doubt()
        for other in self._fleet:
            if other is worker or (
                cut_off and other.info.availability_zone == zone
            ):
                self._give_up_claims(other, "an answer is late there", now)

    def _give_up_claims(self, worker: Worker, reason: str, now: float) -> None:
        """Takes back what was promised on a worker and not yet ordered."""
        for group in list(worker.groups):
            if group.state is GroupState.CLAIMED:
                self._runs.take_down(group, reason, now)

    def _not_late(
        self, worker_id: WorkerId, outcome: StartOutcome | None = None
    ) -> None:
        """Takes it that a worker has answered an order."""
        worker = self._fleet.get(worker_id)
        if worker is not None and outcome is not StartOutcome.NO_ANSWER:
            worker.late_since = None

    def _lose(self, worker: Worker, now: float) -> None:
        """Nothing of what a worker ran is there any more."""
        worker.drop_strangers()
        for group in list(worker.groups):
            if group.state is GroupState.CLAIMED:
                self._runs.take_down(group, "its worker is gone", now)
                continue
            for index, member in list(group.members.items()):
                if member.worker_id == worker.worker_id:
                    self._runs.member_gone(
                        group, index, "its lease has run out", now
                    )

    def _forget_if_empty(self, worker: Worker, now: float) -> None:
        """Drops a worker off the list, unless it may run something."""
        known = worker.reported or worker.lapsed(now)
        if worker.listed or worker.groups or worker.strangers or not known:
            return
        self._fleet.forget(worker.worker_id)

    @_on.register
    def _on_start_answered(self, event: StartAnswered, now: float) -> None:
        self._not_late(event.worker_id, event.outcome)
        group = self._jobs.group_of(event.task)
        if group is None or group.run != event.run:
            return
        member = group.members.get(event.task.index)
        if member is None or member.worker_id != event.worker_id:
            return
        if event.outcome is StartOutcome.STARTED:
            self._runs.confirmed(group, event.task.index, now)
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
                },
            )
        )
        if event.outcome is StartOutcome.OLD_RUN:
            # An earlier try without an answer may have started it, and it has
            # ended since: the next report tells how.
            member.started_at = member.started_at or now
            return
        group.not_before = now + REFUSED_PAUSE_S
        self._blame(group, event, now)
        reason = f"its start was answered with {event.outcome.value}"
        if event.settled:
            self._runs.member_gone(group, event.task.index, reason, now)
        elif group.state is GroupState.STARTED:
            # It may begin yet: it keeps its place until its stop has been
            # answered and a later report doesn't list it.
            where = f"task {event.task.index} on worker {event.worker_id}"
            self._runs.take_down(group, f"{where}: {reason}", now)
        self._dirty = True

    def _blame(self, group: Group, event: StartAnswered, now: float) -> None:
        """Has the next run avoid what this start was refused for."""
        if event.outcome is StartOutcome.NO_ANSWER:
            group.failed_on.add(event.worker_id)
        elif event.outcome is StartOutcome.BAD_TICKET:
            self._advice.refused(group, event.worker_id)
        elif event.outcome is StartOutcome.UNHEALTHY:
            worker = self._fleet.get(event.worker_id)
            if worker is not None:
                worker.suspended_until = now + 1.0

    @_on.register
    def _on_stop_answered(self, event: StopAnswered, now: float) -> None:
        self._not_late(event.worker_id)
        group = self._jobs.group_of(event.task)
        if group is None or group.run != event.run:
            return
        member = group.members.get(event.task.index)
        if member is not None and member.worker_id == event.worker_id:
            member.stopped_at = member.stopped_at or now

    @_on.register
    def _on_advice(self, event: AdviceGiven, now: float) -> None:
        incarnations: dict[WorkerId, int] = {}
        for worker_id in event.tickets:
            worker = self._fleet.get(worker_id)
            if worker is not None:
                incarnations[worker_id] = worker.incarnation
        self._advice.answered(
            event.step,
            event.asked,
            event.tickets,
            event.valid_until,
            incarnations,
        )
        self._dirty = True

    @_on.register
    def _on_no_advice(self, event: AdviceMissing, now: float) -> None:
        self._advice.unanswered(event.step)
        self._dirty = True

    @_on.register
    def _on_closing(self, event: WorkersShuttingDown, now: float) -> None:
        for worker in self._fleet:
            worker.closing = worker.worker_id in event.worker_ids
        self._dirty = True

    @_on.register
    def _on_written(self, event: RowWritten, now: float) -> None:
        entry = self._jobs.row_written(event.job_id, event.change)
        if entry is not None:
            self._dispatcher.start_claimed(entry, now)
            self._jobs.drop_if_over(entry)

    @_on.register
    def _on_tick(self, event: Tick, now: float) -> None:
        self._jobs.wall_offset = event.wall - now
        for worker in list(self._fleet):
            if worker.lapsed(now):
                self._lose(worker, now)
                self._forget_if_empty(worker, now)
        for entry in list(self._jobs):
            self._jobs.drop_if_over(entry)
        self._dirty = True
        if now >= self._summary_due:
            self._summary_due = now + SUMMARY_EVERY_S
            self._summarise(now)

    def _summarise(self, now: float) -> None:
        """Writes to the log how full the fleet is and what waits."""
        waiting: dict[str, int] = defaultdict(int)
        for entry in self._jobs:
            if any(g.state is GroupState.READY for g in entry.all_groups()):
                waiting[entry.queue.name] += 1
        services = {each.info.service for each in self._fleet}
        fields: dict[str, object] = {
            "workers": sum(each.usable(now) for each in self._fleet),
            "jobs": len(self._jobs),
            "jobs_waiting": dict(waiting),
            "in_use": {
                each: round(self._fleet.share_in_use(each), 3)
                for each in services
            },
        }
        self._out.append(LogEntry("fleet", fields))

    # ---- placing

    def _schedule(self, now: float) -> None:
        if not self._dirty:
            return
        self._dirty = False
        jobs = [each for each in self._jobs if not each.row.status.is_final]
        wall = now + self._jobs.wall_offset
        for entry in self._dispatcher.run(jobs, self._catalogue, now, wall):
            self._jobs.finish(entry, JobStatus.FAILED, "attempts used up", now)
            self._dirty = True


def worker_from_roster(worker_id: WorkerId, address: str) -> WorkerInfo:
    """Returns a worker of which only its address is known."""
    return WorkerInfo(
        worker_id, ServiceName(""), address, ZoneName(""), NO_RESOURCES
    )
