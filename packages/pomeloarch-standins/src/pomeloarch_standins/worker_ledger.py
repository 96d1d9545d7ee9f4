"""A record of the gangs on all simulated workers, for the checks of tests."""

from __future__ import annotations

import dataclasses
from collections import defaultdict

import msgspec

from pomeloarch_core.gang.messages import TaskState
from pomeloarch_core.ids import AttemptId, JobId

_SETTLED = frozenset({TaskState.SUCCEEDED, TaskState.CHECKPOINTED})


class Counts(msgspec.Struct, frozen=True):
    """The body of the response to `GET /counts`.

    Attributes:
      starts: the number of attempts of each job that started a member.
      member_starts: the number of started members of each attempt.
      running_gangs: the number of attempts that run now with all members.
      partial_gangs: the number of attempts that run now with only some
        members.
      violations: a sentence for each attempt that ran with only some members
        for longer than a lease, that started a member twice, or that started
        a member while another attempt of its job ran or after one had
        succeeded.
    """

    starts: dict[JobId, int]
    member_starts: dict[AttemptId, int]
    running_gangs: int
    partial_gangs: int
    violations: tuple[str, ...]


@dataclasses.dataclass
class _Gang:
    """The members of one attempt on all workers."""

    reserved: set[int] = dataclasses.field(default_factory=set)
    running: set[int] = dataclasses.field(default_factory=set)
    settled: set[int] = dataclasses.field(default_factory=set)
    known_successes: set[int] = dataclasses.field(default_factory=set)
    partial_since: float | None = None

    @property
    def is_partial(self) -> bool:
        """Whether some members run while others neither run nor have ended."""
        return bool(self.running) and bool(
            self.reserved - self.running - self.settled
        )


class GangLedger:
    """Records the starts, ends and checkpoints of tasks on all workers.

    Args:
      partial_limit_s: the time for which a gang may run with only some members,
        in seconds: the longest lease and the time to notice its end.
    """

    def __init__(self, partial_limit_s: float = 8.0) -> None:
        """Creates an empty ledger."""
        self._partial_limit_s = partial_limit_s
        self._gangs: dict[AttemptId, _Gang] = defaultdict(_Gang)
        self._attempts: dict[JobId, set[AttemptId]] = defaultdict(set)
        self._member_starts: dict[tuple[AttemptId, int], int] = defaultdict(int)
        self._progress: dict[tuple[str, int], float] = {}
        self._violations: dict[str, None] = {}

    def record_reservation(self, attempt: AttemptId, member: int) -> None:
        """Records that a member has its accelerators reserved."""
        self._gangs[attempt].reserved.add(member)

    def record_start(
        self, job_id: JobId, attempt: AttemptId, member: int, now: float
    ) -> None:
        """Records a start and finds out what it violates."""
        self._attempts[job_id].add(attempt)
        for other in self._attempts[job_id]:
            gang = self._gangs[other]
            if gang.running and other != attempt:
                self._violations[f"{attempt} ran beside {other}"] = None
            if gang.reserved and gang.reserved <= gang.known_successes:
                self._violations[f"{attempt} started after {other}"] = None
        self._member_starts[attempt, member] += 1
        if self._member_starts[attempt, member] > 1:
            self._violations[f"{attempt}/{member} started twice"] = None
        self._gangs[attempt].running.add(member)
        self._check_partial(attempt, now)

    def record_end(
        self, attempt: AttemptId, member: int, state: TaskState, now: float
    ) -> None:
        """Records the end of a task or reservation."""
        gang = self._gangs[attempt]
        gang.running.discard(member)
        if state in _SETTLED:
            gang.settled.add(member)
        self._check_partial(attempt, now)

    def record_known_success(self, attempt: AttemptId, member: int) -> None:
        """Records that the scheduler knows of a success and released it."""
        self._gangs[attempt].known_successes.add(member)

    def save_checkpoint(
        self,
        job_id: JobId,
        attempt: AttemptId,
        member: int,
        progress_s: float,
    ) -> str:
        """Stores a checkpoint as an object store would; returns its name."""
        name = f"checkpoint/{job_id}/{attempt}"
        self._progress[name, member] = progress_s
        return name

    def progress_s(self, checkpoint: str | None, member: int) -> float:
        """Returns the run time that a member's checkpoint holds, in seconds."""
        if checkpoint is None:
            return 0.0
        return self._progress.get((checkpoint, member), 0.0)

    def counts(self, now: float) -> Counts:
        """Returns the counts up to the given time."""
        for attempt in list(self._gangs):
            self._check_partial(attempt, now)
        member_starts: dict[AttemptId, int] = defaultdict(int)
        for (attempt, _), times in self._member_starts.items():
            member_starts[attempt] += times
        gangs = self._gangs.values()
        return Counts(
            {job: len(seen) for job, seen in self._attempts.items()},
            dict(member_starts),
            sum(bool(gang.running) and not gang.is_partial for gang in gangs),
            sum(gang.is_partial for gang in gangs),
            tuple(self._violations),
        )

    def _check_partial(self, attempt: AttemptId, now: float) -> None:
        gang = self._gangs[attempt]
        since = gang.partial_since
        if since is not None and now - since > self._partial_limit_s:
            self._violations[f"{attempt} ran in part"] = None
        if not gang.is_partial:
            gang.partial_since = None
        elif since is None:
            gang.partial_since = now
