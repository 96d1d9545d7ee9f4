"""Which workers may run a step, where an outside service decides that.

The service answers one question per node at a time and takes longer the more
workers it is asked about. It is therefore asked about a few workers, those with
the most room first. Its answer about a worker stays valid for the step, but the
ticket of a worker that may run the step has to be renewed.
"""

from __future__ import annotations

from typing import NamedTuple

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.groups import Group
from pomeloarch_core.batch.messages import Incarnation, RequestAdvice, StepId
from pomeloarch_core.ids import JobId, WorkerId

# Limit on the workers of one question.
MAX_ASKED_WORKERS = 30
# A ticket that expires within this time, in seconds, is renewed before use.
TICKET_MARGIN_S = 0.4
# Time after which a question without an answer is asked again, in seconds.
ASK_RETRY_S = 3.0
# Workers that may run a step are looked for until there are this many times as
# many as the step has tasks.
SPARE_FACTOR = 2


class _Ticket(NamedTuple):
    text: str
    valid_until: float
    incarnation: Incarnation


class _StepAdvice:
    """Answers about one step.

    Attributes:
      allowed: the last tickets of the workers that may run the step.
      denied: the workers that may not, in the incarnation that was asked about;
        another one may be of another kind.
      asked_at: when the question that has no answer yet was asked.
    """

    def __init__(self) -> None:
        self.allowed: dict[WorkerId, _Ticket] = {}
        self.denied: dict[WorkerId, Incarnation] = {}
        self.asked_at: float | None = None

    def is_denied(self, worker: Worker) -> bool:
        """Returns whether the present life of a worker may not run it."""
        return self.denied.get(worker.worker_id) == worker.incarnation


class AdviceCache:
    """The answers of the advice service, by step."""

    def __init__(self) -> None:
        """Creates a cache without answers."""
        self._steps: dict[StepId, _StepAdvice] = {}

    def filter_ticketed(
        self, group: Group, workers: list[Worker], now: float
    ) -> list[Worker]:
        """Returns the workers for which there is a valid ticket."""
        return [
            each
            for each in workers
            if self.has_ticket(group, each, now + TICKET_MARGIN_S)
        ]

    def has_ticket(self, group: Group, worker: Worker, at: float) -> bool:
        """Returns whether there is a ticket for a worker, valid at a time.

        Args:
          group: the group to be started.
          worker: the worker.
          at: the time, in seconds.
        """
        known = self._steps.get(group.step_id)
        ticket = None if known is None else known.allowed.get(worker.worker_id)
        return (
            ticket is not None
            and ticket.valid_until > at
            and ticket.incarnation == worker.incarnation
        )

    def is_denied(self, group: Group, worker: Worker) -> bool:
        """Returns whether a worker is known not to be allowed for a step."""
        known = self._steps.get(group.step_id)
        return known is not None and known.is_denied(worker)

    def ticket_for(self, group: Group, worker: Worker) -> str:
        """Returns the ticket for a worker; empty when there is none."""
        known = self._steps.get(group.step_id)
        found = None if known is None else known.allowed.get(worker.worker_id)
        return "" if found is None else found.text

    def next_question(
        self, group: Group, workers: list[Worker], now: float
    ) -> RequestAdvice | None:
        """Returns what to ask for a group without a place, None for nothing.

        Workers that have room for a task now are always worth a question: those
        that may run the step can be full of tasks that don't end. The others
        are asked about until enough of those that are there may run it.

        Args:
          group: the group.
          workers: the workers that it could use with a ticket.
          now: the present time, in seconds.
        """
        known = self._steps.setdefault(group.step_id, _StepAdvice())
        if known.asked_at is not None and now < known.asked_at + ASK_RETRY_S:
            return None
        need = group.step.allocation
        open_workers = [
            each
            for each in workers
            if not known.is_denied(each)
            and not self.has_ticket(group, each, now + TICKET_MARGIN_S)
        ]
        present = sum(each.worker_id in known.allowed for each in workers)
        if present >= SPARE_FACTOR * group.step.count:
            open_workers = [
                each
                for each in open_workers
                if each.count_fitting(need) or each.worker_id in known.allowed
            ]
        asked = sorted(
            open_workers,
            key=lambda each: (
                not each.count_fitting(need),
                each.worker_id not in known.allowed,
                -each.free.accelerators,
            ),
        )[:MAX_ASKED_WORKERS]
        if not asked:
            return None
        known.asked_at = now
        return RequestAdvice(
            group.step_id, {each.worker_id: each.incarnation for each in asked}
        )

    def record_answer(
        self,
        question: RequestAdvice,
        tickets: dict[WorkerId, str],
        valid_until: float,
    ) -> None:
        """Records an answer; workers without a ticket are denied."""
        known = self._steps.setdefault(question.step, _StepAdvice())
        known.asked_at = None
        for worker_id, incarnation in question.incarnations.items():
            if worker_id in tickets:
                known.allowed[worker_id] = _Ticket(
                    tickets[worker_id], valid_until, incarnation
                )
            else:
                known.allowed.pop(worker_id, None)
                known.denied[worker_id] = incarnation

    def record_no_answer(self, step: StepId) -> None:
        """Records that a question has to be asked again."""
        known = self._steps.get(step)
        if known is not None:
            known.asked_at = None

    def discard_ticket(self, group: Group, worker_id: WorkerId) -> None:
        """Discards a ticket that a worker has refused."""
        known = self._steps.get(group.step_id)
        if known is not None and worker_id in known.allowed:
            del known.allowed[worker_id]

    def forget_worker(self, worker_id: WorkerId) -> None:
        """Removes the answers about a worker that has left."""
        for known in self._steps.values():
            known.allowed.pop(worker_id, None)
            known.denied.pop(worker_id, None)

    def forget(self, job_id: JobId) -> None:
        """Removes the answers about the steps of a job that has ended."""
        for step in [each for each in self._steps if each.job_id == job_id]:
            del self._steps[step]
