"""Which workers may run a step, where an outside service decides that.

The service answers one question of a node at a time and is slow by the
worker, so it is asked about few workers, those with most room first. What it
said of a worker stays true for the step; the ticket of a worker that may run
it has to be renewed.
"""

from __future__ import annotations

from typing import NamedTuple

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.messages import RequestAdvice, StepId
from pomeloarch_core.ids import WorkerId

# Workers of one question.
MOST_ASKED = 30
# A ticket that ends within this time is renewed first, in seconds.
TICKET_MARGIN_S = 0.4
# A question without an answer is put again after this time, in seconds.
ASK_AGAIN_S = 3.0
# Workers that may run a step are sought until there are this many times as
# many as it has tasks.
SPARE_FACTOR = 2


class _Ticket(NamedTuple):
    text: str
    valid_until: float
    incarnation: int


class _StepAdvice:
    """What is known of one step."""

    def __init__(self) -> None:
        self.good: dict[WorkerId, _Ticket] = {}
        self.bad: set[WorkerId] = set()
        self.asked_at: float | None = None


class AdviceBook:
    """What the service has said, by step."""

    def __init__(self) -> None:
        """Starts knowing nothing."""
        self._steps: dict[StepId, _StepAdvice] = {}

    def usable(
        self, group: Group, workers: list[Worker], now: float
    ) -> list[Worker]:
        """Returns the workers for which a valid ticket is at hand."""
        known = self._steps.get(group.step_id)
        if known is None:
            return []
        return [
            each
            for each in workers
            if (ticket := known.good.get(each.worker_id)) is not None
            and ticket.valid_until > now + TICKET_MARGIN_S
            and ticket.incarnation == each.incarnation
        ]

    def ticket(self, group: Group, worker: Worker) -> str:
        """Returns the ticket for a worker; empty for none."""
        known = self._steps.get(group.step_id)
        found = None if known is None else known.good.get(worker.worker_id)
        return "" if found is None else found.text

    def question(
        self, group: Group, workers: list[Worker], now: float
    ) -> RequestAdvice | None:
        """Returns what to ask for a group that finds no place."""
        known = self._steps.setdefault(group.step_id, _StepAdvice())
        if known.asked_at is not None and now < known.asked_at + ASK_AGAIN_S:
            return None
        room = sorted(workers, key=lambda each: -each.free.accelerators)
        renew = [
            each
            for each in room
            if each.worker_id in known.good
            and not self.usable(group, [each], now)
        ]
        unknown = [
            each
            for each in room
            if each.worker_id not in known.good
            and each.worker_id not in known.bad
        ]
        if len(known.good) >= SPARE_FACTOR * group.step.count:
            unknown = []
        asked = [*renew, *unknown][:MOST_ASKED]
        if not asked:
            return None
        known.asked_at = now
        return RequestAdvice(
            group.step_id, tuple(each.worker_id for each in asked)
        )

    def answered(
        self,
        step: StepId,
        asked: tuple[WorkerId, ...],
        tickets: dict[WorkerId, str],
        valid_until: float,
        incarnations: dict[WorkerId, int],
    ) -> None:
        """Takes in an answer; without tickets for `asked`, they are bad."""
        known = self._steps.setdefault(step, _StepAdvice())
        known.asked_at = None
        for worker_id in asked:
            if worker_id in tickets:
                known.good[worker_id] = _Ticket(
                    tickets[worker_id],
                    valid_until,
                    incarnations.get(worker_id, 0),
                )
            else:
                known.good.pop(worker_id, None)
                known.bad.add(worker_id)

    def unanswered(self, step: StepId) -> None:
        """The question has to be put again."""
        known = self._steps.get(step)
        if known is not None:
            known.asked_at = None

    def refused(self, group: Group, worker_id: WorkerId) -> None:
        """A worker did not take its ticket."""
        known = self._steps.get(group.step_id)
        if known is not None and worker_id in known.good:
            del known.good[worker_id]

    def forget(self, steps: list[StepId]) -> None:
        """Drops what is known of steps that are over."""
        for step in steps:
            self._steps.pop(step, None)
