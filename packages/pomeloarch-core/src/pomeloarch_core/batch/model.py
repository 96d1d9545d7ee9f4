"""What callers submit: jobs, their steps and what a task needs."""

from __future__ import annotations

from typing import NewType

import msgspec

from pomeloarch_core.ids import JobId, OrganisationName, ServiceName

QueueName = NewType("QueueName", str)
ImageName = NewType("ImageName", str)

# Tasks of a job, over all its steps and occurrences: three times what one
# service may run at a time, and some 20 MB of the scheduler's memory.
MOST_TASKS = 30_000
# How often something fits that takes nothing.
_ANY_NUMBER = 1_000_000


class Resources(msgspec.Struct, frozen=True):
    """An amount of resources: what a task takes or a worker has.

    Attributes:
      cpu_millis: processor time, in thousandths of a core.
      memory_mb: memory, in MB.
      accelerators: whole accelerators.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        """Returns the sum of both amounts."""
        return Resources(
            self.cpu_millis + other.cpu_millis,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        """Returns what is left; parts may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, times: int) -> Resources:
        """Returns the amount taken several times."""
        return Resources(
            self.cpu_millis * times,
            self.memory_mb * times,
            self.accelerators * times,
        )

    def fits(self, room: Resources) -> bool:
        """Whether this amount is there in `room`."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def times_in(self, room: Resources) -> int:
        """Returns how often this amount fits into `room`."""
        count = _ANY_NUMBER
        if self.cpu_millis > 0:
            count = room.cpu_millis // self.cpu_millis
        if self.memory_mb > 0:
            count = min(count, room.memory_mb // self.memory_mb)
        if self.accelerators > 0:
            count = min(count, room.accelerators // self.accelerators)
        return max(0, count)


NO_RESOURCES = Resources()


class Step(msgspec.Struct, frozen=True):
    """Equal tasks that become ready together.

    Attributes:
      count: how many tasks it has.
      need: what each task takes.
      estimate_s: the caller's rough guess of a task's duration, in seconds.
      after: numbers of the steps that have to end first.
      checkpointing: whether tasks save their progress.
      gang: whether the tasks work only together.
      same_rack: whether they are slow when on more than one rack.
      label: a label that their workers must have; empty for any worker.
      data_rack: the rack near the step's data; empty where it has none.
      max_per_worker: bound of the step's tasks on one worker; 0 for none.
      speculative: whether copies of a task may run in parallel.
      long_running: whether the tasks run until the job is cancelled.
      image: what the tasks run; tasks of an image behave alike.
      latency_target_ms: bound for the tail of a serving task's responses.
      scavenging: whether it uses only processor time that others leave.
      may_miss: tasks that may be away at once by this system's own orders.
    """

    count: int
    need: Resources = NO_RESOURCES
    estimate_s: float = 1.0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    speculative: bool = False
    long_running: bool = False
    image: ImageName = ImageName("")
    latency_target_ms: int = 0
    scavenging: bool = False
    may_miss: int = 0

    @property
    def reserved(self) -> Resources:
        """What a task of the step takes of its worker's room."""
        if self.scavenging:
            return Resources(0, self.need.memory_mb, self.need.accelerators)
        return self.need


class Queue(msgspec.Struct, frozen=True):
    """A queue for jobs of one service.

    Attributes:
      name: its name.
      service: the service whose workers run its tasks.
      priority: 0 goes first and may preempt.
      max_attempts: failed runs of a task after which its job has failed.
      stretch: the objective, in multiples of the longest chain of work.
      target_latency_s: what the objective allows besides, in seconds.
      advised: whether an outside service says which workers may run a step.
    """

    name: QueueName
    service: ServiceName
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_s: float = 0.0
    advised: bool = False


class BatchJob(msgspec.Struct, frozen=True):
    """A job as it was accepted.

    Attributes:
      job_id: the caller's id for it.
      queue: where it was submitted.
      organisation: whose job it is; empty for a queue without keys.
      accepted_under: the queue as it was then; it counts once the queue is no
        longer in the configuration.
      payload: what its tasks run, opaque to the scheduler.
      steps: its steps; a step comes after those that it waits for.
      accepted_at: when it was accepted, in seconds of the wall clock.
      occurrences: how often the steps run; 0 for once, at once.
      first_due_at: when the first occurrence is due, in wall clock seconds.
      interval_s: time between occurrences, in seconds.
    """

    job_id: JobId
    queue: QueueName
    organisation: OrganisationName
    accepted_under: Queue
    payload: str
    steps: tuple[Step, ...]
    accepted_at: float = 0.0
    occurrences: int = 0
    first_due_at: float = 0.0
    interval_s: float = 0.0

    @property
    def scheduled(self) -> bool:
        """Whether it runs at given times."""
        return self.occurrences > 0

    @property
    def rounds(self) -> int:
        """How many times the steps run."""
        return max(1, self.occurrences)

    def due_at(self, occurrence: int) -> float:
        """Returns when an occurrence may start, in wall clock seconds."""
        if not self.scheduled:
            return 0.0
        return self.first_due_at + occurrence * self.interval_s

    def findings(self) -> list[str]:
        """Returns what is wrong with the job, one sentence a finding."""
        found = [] if self.steps else ["a job has at least one step"]
        for number, step in enumerate(self.steps):
            if step.count < 1:
                found.append(f"step {number} has no task")
            if any(not 0 <= each < number for each in step.after):
                found.append(f"step {number} may wait for earlier steps only")
            if min(msgspec.structs.astuple(step.need)) < 0:
                found.append(f"step {number} needs a negative amount")
        tasks = self.rounds * sum(max(0, s.count) for s in self.steps)
        if tasks > MOST_TASKS:
            found.append(f"a job has at most {MOST_TASKS} tasks, not {tasks}")
        if self.scheduled and self.interval_s < 0:
            found.append("the interval between occurrences is negative")
        return found
