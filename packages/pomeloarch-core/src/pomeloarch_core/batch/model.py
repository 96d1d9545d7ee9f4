"""What callers submit: jobs, their steps and the resources of a task."""

from __future__ import annotations

from typing import NewType

import msgspec

from pomeloarch_core.ids import JobId, OrganisationName, ServiceName

QueueName = NewType("QueueName", str)
ImageName = NewType("ImageName", str)

# Limit on a job's tasks, over all its steps and occurrences. It is three times
# what one service may run at a time. While they wait they take hardly any
# memory; see `JobEntry`.
MAX_JOB_TASKS = 30_000
# The count that is returned for tasks that take no resources at all.
_UNLIMITED_COUNT = 1_000_000


class Resources(msgspec.Struct, frozen=True):
    """An amount of resources: what a task takes or a worker offers.

    Attributes:
      cpu_millis: processor time, in thousandths of a core.
      memory_mb: memory, in MB.
      accelerators: number of whole accelerators.
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
        """Returns the difference; single amounts may be negative."""
        return Resources(
            self.cpu_millis - other.cpu_millis,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def __mul__(self, times: int) -> Resources:
        """Returns the amount multiplied by a number of tasks."""
        return Resources(
            self.cpu_millis * times,
            self.memory_mb * times,
            self.accelerators * times,
        )

    def fits_in(self, room: Resources) -> bool:
        """Returns whether `room` has at least this amount of each resource."""
        return (
            self.cpu_millis <= room.cpu_millis
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def count_fitting_in(self, room: Resources) -> int:
        """Returns how many times this amount fits into `room`."""
        count = _UNLIMITED_COUNT
        if self.cpu_millis > 0:
            count = room.cpu_millis // self.cpu_millis
        if self.memory_mb > 0:
            count = min(count, room.memory_mb // self.memory_mb)
        if self.accelerators > 0:
            count = min(count, room.accelerators // self.accelerators)
        return max(0, count)


NO_RESOURCES = Resources()


class Step(msgspec.Struct, frozen=True):
    """A number of equal tasks that become ready together.

    Attributes:
      count: number of tasks.
      need: resources that each task takes.
      estimate_s: the caller's rough estimate of a task's duration, in seconds.
      after: numbers of the steps that have to end before this one starts.
      checkpointing: whether tasks save their progress in checkpoints.
      gang: whether all tasks have to run at the same time.
      same_rack: whether the tasks are slow unless all run on one rack.
      label: a label that workers must have; empty when any worker will do.
      data_rack: the rack near the step's data; empty when there is none.
      max_per_worker: limit on the step's tasks on one worker; 0 for no limit.
      speculative: whether several copies of a task may run in parallel.
      long_running: whether the tasks run until the job is cancelled.
      image: the image that the tasks run; tasks of one image behave alike.
      latency_target_ms: limit on the tail latency of a serving task's
        responses, in milliseconds.
      scavenging: whether the tasks use only processor time that others leave
        idle.
      may_miss: limit on the tasks that this system may stop at the same time; 0
        for no limit.
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
    def allocation(self) -> Resources:
        """The resources that a task of the step takes from its worker."""
        if self.scavenging:
            return Resources(0, self.need.memory_mb, self.need.accelerators)
        return self.need


class Queue(msgspec.Struct, frozen=True):
    """A queue for the jobs of one service.

    Attributes:
      name: the queue's name.
      service: the service whose workers run the tasks.
      priority: 0 is the highest and may preempt the others; jobs and groups of
        priority 0 are called urgent.
      max_attempts: number of failed runs of a task after which its job fails.
      stretch: factor of the time objective; it multiplies the job's critical
        path.
      target_latency_s: time that the objective allows in addition, in seconds.
      advised: whether an outside service decides which workers may run a step.
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
      job_id: the id that the caller knows it by.
      queue: the queue that it was submitted to.
      organisation: the organisation that owns it; empty for a queue that needs
        no API keys.
      accepted_under: the queue's settings at that time; they apply once the
        queue is no longer in the configuration.
      payload: what its tasks run; the scheduler doesn't interpret it.
      steps: its steps; each step comes after the steps that it waits for.
      accepted_at: when it was accepted, in seconds of the wall clock.
      occurrences: number of times that the steps run at scheduled times; 0 for
        a job that runs once, at once.
      first_due_at: when the first occurrence is due, in seconds of the wall
        clock.
      interval_s: time between two occurrences, in seconds.
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
        """Whether it runs at scheduled times."""
        return self.occurrences > 0

    @property
    def occurrence_count(self) -> int:
        """Number of times that the steps run, at least 1."""
        return max(1, self.occurrences)

    def due_at(self, occurrence: int) -> float:
        """Returns when an occurrence may start, in wall clock seconds."""
        if not self.scheduled:
            return 0.0
        return self.first_due_at + occurrence * self.interval_s

    def findings(self) -> list[str]:
        """Returns one sentence for each error in the job."""
        found = [] if self.steps else ["a job has at least one step"]
        for number, step in enumerate(self.steps):
            if step.count < 1:
                found.append(f"step {number} has no task")
            if any(not 0 <= each < number for each in step.after):
                found.append(f"step {number} may wait for earlier steps only")
            if min(msgspec.structs.astuple(step.need)) < 0:
                found.append(f"step {number} needs a negative amount")
        tasks = self.occurrence_count * sum(max(0, s.count) for s in self.steps)
        if tasks > MAX_JOB_TASKS:
            found.append(
                f"a job has at most {MAX_JOB_TASKS} tasks, not {tasks}"
            )
        if self.scheduled and self.interval_s < 0:
            found.append("the interval between occurrences is negative")
        return found
