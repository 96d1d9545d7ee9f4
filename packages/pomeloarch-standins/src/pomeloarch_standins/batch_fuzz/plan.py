"""What is played: a world, its jobs and its faults, as lines of JSON."""

from __future__ import annotations

import msgspec

from pomeloarch_core.batch.messages import TaskId
from pomeloarch_core.batch.model import BatchJob, QueueName, Resources, Step
from pomeloarch_core.ids import JobId, OrganisationName
from pomeloarch_node.platform import StoreLimits
from pomeloarch_standins.batch_world import CATALOGUE, ORGANISATION

# Resources that a task takes for each of its accelerators.
_CPU_MILLIS = 8_000
_MEMORY_MB = 16_000
# How many times their duration kinds take at most that wait for their moment
# before it begins.
_WAITING_KINDS = {"kept-start": 2.1}
# How often a caller tries to submit or to cancel a job, unless it gives up
# sooner.
MAX_ATTEMPTS = 12
# A job that runs more often than this lasts longer than a play.
MAX_PLAYED_OCCURRENCES = 100


class PlannedStep(msgspec.Struct, frozen=True, omit_defaults=True):
    """A step of a job; see `Step`.

    Attributes:
      count: number of tasks.
      accelerators: accelerators that each task takes, with the processor time
        and memory that go with them.
      run_s: how long each task runs, in seconds.
      gang: whether all tasks have to run at the same time.
      after: numbers of the steps that have to end before this one starts.
      checkpointing: whether tasks save their progress in checkpoints.
      long_running: whether the tasks run until the job is cancelled.
      cpu_millis: processor time that each task takes besides, in thousandths
        of a core.
      data_rack: the rack near its data; empty when there is none.
    """

    count: int
    accelerators: int
    run_s: float
    gang: bool = False
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    long_running: bool = False
    cpu_millis: int = 0
    data_rack: str = ""

    def step(self) -> Step:
        """Returns the step as it is submitted."""
        need = Resources(_CPU_MILLIS, _MEMORY_MB, 1) * self.accelerators
        need += Resources(cpu_millis=self.cpu_millis)
        return Step(
            count=self.count,
            need=need,
            estimate_s=self.run_s,
            gang=self.gang,
            after=self.after,
            checkpointing=self.checkpointing,
            long_running=self.long_running,
            data_rack=self.data_rack,
        )


class PlannedCall(msgspec.Struct, frozen=True, omit_defaults=True):
    """A caller's call about a job beside those of its submission.

    Attributes:
      at_s: when it is made first, in seconds.
      node: the number of the node that it is made to.
      organisation: the caller's organisation, empty for none.
      attempts: how often it is made until it has a definite answer.
    """

    at_s: float
    node: int
    organisation: OrganisationName = ORGANISATION
    attempts: int = MAX_ATTEMPTS


class PlannedJob(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="job", tag_field="is"
):
    """A job that is submitted.

    Attributes:
      number: its number, which its id is made from.
      at_s: when it is submitted, in seconds.
      node: the number of the node that it is submitted to.
      queue: its queue.
      steps: its steps.
      occurrences: number of times that the steps run; 0 for once, at once.
      interval_s: time between two occurrences, in seconds.
      cancel_after_s: time from its submission until it is cancelled, in
        seconds; None if it is not cancelled.
      fails: whether all of its runs fail.
      fails_once_after_s: how long the first run of each task works before it
        fails, in seconds; 0 if it doesn't fail.
      attempts: how often its caller submits it until it has a definite answer.
      cancels: further requests to cancel it, also before it is submitted.
      rivals: submissions of other jobs under its id.
    """

    number: int
    at_s: float
    node: int
    queue: QueueName
    steps: tuple[PlannedStep, ...]
    occurrences: int = 0
    interval_s: float = 0.0
    cancel_after_s: float | None = None
    fails: bool = False
    fails_once_after_s: float = 0.0
    attempts: int = MAX_ATTEMPTS
    cancels: tuple[PlannedCall, ...] = ()
    rivals: tuple[PlannedCall, ...] = ()

    @property
    def job_id(self) -> JobId:
        """Its id."""
        return JobId(f"{self.number:016x}")

    @property
    def is_endless(self) -> bool:
        """Whether it runs until it is cancelled."""
        return self.is_lasting or self.occurrences > MAX_PLAYED_OCCURRENCES

    @property
    def is_lasting(self) -> bool:
        """Whether it has long-running tasks."""
        return any(step.long_running for step in self.steps)

    def tasks(self) -> list[TaskId]:
        """Returns the ids of all its tasks."""
        return [
            TaskId(self.job_id, occurrence, number, index)
            for occurrence in range(max(1, self.occurrences))
            for number, step in enumerate(self.steps)
            for index in range(step.count)
        ]

    def job(
        self, now: float, organisation: OrganisationName = ORGANISATION
    ) -> BatchJob:
        """Returns the job as an organisation submits it at a time."""
        return BatchJob(
            job_id=self.job_id,
            queue=self.queue,
            organisation=organisation,
            accepted_under=CATALOGUE.queues[self.queue],
            payload="work",
            steps=tuple(step.step() for step in self.steps),
            accepted_at=now,
            occurrences=self.occurrences,
            first_due_at=now + self.interval_s if self.occurrences else 0.0,
            interval_s=self.interval_s,
        )


class PlannedFault(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="fault", tag_field="is"
):
    """A fault and when it holds.

    Attributes:
      kind: the name of its kind; see `faults`.
      at_s: when it begins, in seconds.
      for_s: how long it lasts, in seconds.
      targets: the numbers of the nodes or workers that it strikes.
      paths: the pairs of a node's and a worker's number that it strikes.
      amount: the share or the factor of the fault.
      table: the table of the store that it strikes.
      shards: the shards of the store that it strikes.
    """

    kind: str
    at_s: float
    for_s: float = 0.0
    targets: tuple[int, ...] = ()
    paths: tuple[tuple[int, int], ...] = ()
    amount: float = 0.0
    table: str = ""
    shards: tuple[int, ...] = ()

    @property
    def ends_at_s(self) -> float:
        """When it has ended at the latest, in seconds.

        Some kinds first wait for their moment.
        """
        return self.at_s + self.for_s * _WAITING_KINDS.get(self.kind, 1.0)


class PlannedWorld(
    msgspec.Struct, frozen=True, omit_defaults=True, tag="world", tag_field="is"
):
    """The size and the seed of the simulation.

    Attributes:
      seed: the seed of the models' random numbers.
      nodes: the number of nodes.
      workers: the number of workers.
      slow_clocks: the numbers of workers with slow clocks.
      checks_room: whether workers refuse tasks that don't fit.
      answers_listed_ends: whether workers answer a renewal at once while they
        list an end.
      row_bytes: the largest value of a row that the store takes, in bytes.
      lasting_s: how long the long-running tasks go on after all is calm, in
        seconds.
    """

    seed: int
    nodes: int = 3
    workers: int = 4
    slow_clocks: tuple[int, ...] = ()
    checks_room: bool = True
    answers_listed_ends: bool = False
    row_bytes: int = StoreLimits().row_bytes
    lasting_s: float = 0.0


class Plan(msgspec.Struct, frozen=True):
    """All that is played.

    Attributes:
      world: the simulation.
      jobs: the jobs, in the order of their submission.
      faults: the faults, in the order of their beginnings.
    """

    world: PlannedWorld
    jobs: tuple[PlannedJob, ...]
    faults: tuple[PlannedFault, ...]

    @property
    def calm_at_s(self) -> float:
        """When all faults have ended and all jobs were submitted."""
        ends = [each.ends_at_s for each in self.faults]
        submissions = [each.at_s for each in self.jobs]
        others = [
            call.at_s
            for job in self.jobs
            for call in (*job.cancels, *job.rivals)
        ]
        return max(ends + submissions + others, default=0.0)

    def to_lines(self) -> str:
        """Returns the plan as text, one part a line."""
        parts = (self.world, *self.jobs, *self.faults)
        return "".join(f"{msgspec.json.encode(p).decode()}\n" for p in parts)

    @classmethod
    def from_lines(cls, text: str) -> Plan:
        """Returns the plan that a text holds.

        Raises:
          ValueError: the text holds no plan; the message names the line.
        """
        worlds: list[PlannedWorld] = []
        jobs: list[PlannedJob] = []
        faults: list[PlannedFault] = []
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip():
                continue
            try:
                part = _DECODER.decode(line)
            except msgspec.MsgspecError as exc:
                raise ValueError(f"line {number}: {exc}") from exc
            if isinstance(part, PlannedWorld):
                worlds.append(part)
            elif isinstance(part, PlannedJob):
                jobs.append(part)
            else:
                faults.append(part)
        if len(worlds) != 1:
            raise ValueError(f"a plan has one world, not {len(worlds)}")
        return cls(worlds[0], tuple(jobs), tuple(faults))


_DECODER = msgspec.json.Decoder(PlannedWorld | PlannedJob | PlannedFault)
