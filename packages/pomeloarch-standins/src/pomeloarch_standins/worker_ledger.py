"""What is seen of gangs over all stand-in workers, for tests to check."""

from __future__ import annotations

import dataclasses
from collections import defaultdict

import msgspec

from pomeloarch_core.gang.messages import TaskState
from pomeloarch_core.ids import AttemptId, JobId

_SETTLED = frozenset({TaskState.SUCCEEDED, TaskState.CHECKPOINTED})


class Counts(msgspec.Struct, frozen=True):
    """The answer of `GET /counts`.

    Attributes:
      starts: attempts of each job of which some member was started.
      member_starts: started members of each attempt.
      running_gangs: attempts that run now with all their members.
      partial_gangs: attempts that run now with only some members.
      violations: attempts that ran with only some members for longer than
        a lease, or of which a member was started twice.
    """

    starts: dict[JobId, int]
    member_starts: dict[AttemptId, int]
    running_gangs: int
    partial_gangs: int
    violations: tuple[str, ...]


@dataclasses.dataclass
class _Gang:
    """The members of one attempt, wherever they are."""

    reserved: set[int] = dataclasses.field(default_factory=set)
    running: set[int] = dataclasses.field(default_factory=set)
    settled: set[int] = dataclasses.field(default_factory=set)
    partial_since: float | None = None

    @property
    def partial(self) -> bool:
        """Whether some members run while others neither run nor are done."""
        return bool(self.running) and bool(
            self.reserved - self.running - self.settled
        )


class GangLedger:
    """Notes starts, ends and checkpoints of all workers.

    Args:
      partial_limit_s: how long a gang may run in part, in seconds: the
        longest lease and the time to notice its end.
    """

    def __init__(self, partial_limit_s: float = 8.0) -> None:
        """Starts with nothing noted."""
        self._partial_limit_s = partial_limit_s
        self._gangs: dict[AttemptId, _Gang] = defaultdict(_Gang)
        self._attempts: dict[JobId, set[AttemptId]] = defaultdict(set)
        self._member_starts: dict[tuple[AttemptId, int], int] = defaultdict(int)
        self._progress: dict[tuple[str, int], float] = {}
        self._violations: dict[str, None] = {}

    def reserved(self, attempt: AttemptId, member: int) -> None:
        """Notes that a member has its place."""
        self._gangs[attempt].reserved.add(member)

    def started(
        self, job_id: JobId, attempt: AttemptId, member: int, now: float
    ) -> None:
        """Notes a start; a second one of the same member is a violation."""
        self._attempts[job_id].add(attempt)
        self._member_starts[attempt, member] += 1
        if self._member_starts[attempt, member] > 1:
            self._violations[f"{attempt}/{member} started twice"] = None
        self._gangs[attempt].running.add(member)
        self._watch(attempt, now)

    def ended(
        self, attempt: AttemptId, member: int, state: TaskState, now: float
    ) -> None:
        """Notes the end of a task or reservation."""
        gang = self._gangs[attempt]
        gang.running.discard(member)
        if state in _SETTLED:
            gang.settled.add(member)
        self._watch(attempt, now)

    def save(
        self,
        job_id: JobId,
        attempt: AttemptId,
        member: int,
        progress_s: float,
    ) -> str:
        """Keeps a checkpoint as the object store would; returns its name."""
        name = f"checkpoint/{job_id}/{attempt}"
        self._progress[name, member] = progress_s
        return name

    def progress_s(self, checkpoint: str | None, member: int) -> float:
        """Returns what a checkpoint holds of a member's run, in seconds."""
        if checkpoint is None:
            return 0.0
        return self._progress.get((checkpoint, member), 0.0)

    def counts(self, now: float) -> Counts:
        """Returns everything noted up to now."""
        for attempt in list(self._gangs):
            self._watch(attempt, now)
        member_starts: dict[AttemptId, int] = defaultdict(int)
        for (attempt, _), times in self._member_starts.items():
            member_starts[attempt] += times
        gangs = self._gangs.values()
        return Counts(
            {job: len(seen) for job, seen in self._attempts.items()},
            dict(member_starts),
            sum(bool(gang.running) and not gang.partial for gang in gangs),
            sum(gang.partial for gang in gangs),
            tuple(self._violations),
        )

    def _watch(self, attempt: AttemptId, now: float) -> None:
        gang = self._gangs[attempt]
        since = gang.partial_since
        if since is not None and now - since > self._partial_limit_s:
            self._violations[f"{attempt} ran in part"] = None
        if not gang.partial:
            gang.partial_since = None
        elif since is None:
            gang.partial_since = now
