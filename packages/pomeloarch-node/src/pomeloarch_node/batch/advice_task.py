"""Sends the scheduler's questions to the advice service, one at a time."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from result import Ok

from pomeloarch_core.batch.messages import (
    AdviceGiven,
    AdviceMissing,
    Event,
    RequestAdvice,
)
from pomeloarch_node.batch.decision_log import DecisionLog
from pomeloarch_node.batch.ports import AdviceService

# Maximum number of questions that wait here; the service would let fewer wait
# for all nodes together.
MAX_QUEUED_QUESTIONS = 32


class AdviceTask:
    """Asks the advice service which workers may run a step.

    Args:
      service: the advice service; None where there is none.
      emit: passes an event to the scheduler.
      clock: returns monotonic time, in seconds.
      log: receives questions that got no answer.
    """

    def __init__(
        self,
        service: AdviceService | None,
        emit: Callable[[Event], None],
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Starts without any questions."""
        self._service = service
        self._emit = emit
        self._clock = clock
        self._log = log
        self._questions: asyncio.Queue[RequestAdvice] = asyncio.Queue(
            MAX_QUEUED_QUESTIONS
        )

    def ask(self, question: RequestAdvice) -> None:
        """Queues a question; if the queue is full, it counts as unanswered."""
        try:
            self._questions.put_nowait(question)
        except asyncio.QueueFull:
            self._emit(AdviceMissing(question.step))

    async def run(self) -> None:
        """Sends queued questions until cancelled."""
        while True:
            await self._send(await self._questions.get())

    async def _send(self, question: RequestAdvice) -> None:
        if self._service is None:
            self._log.write("advice missing", step=str(question.step))
            self._emit(AdviceMissing(question.step))
            return
        asked_at = self._clock()
        answer = await self._service.ask(question.step, question.worker_ids)
        if isinstance(answer, Ok):
            advice = answer.ok_value
            self._emit(
                AdviceGiven(question, advice.tickets, asked_at + advice.valid_s)
            )
            return
        self._log.write(
            "advice missing", step=str(question.step), reason=answer.err_value
        )
        self._emit(AdviceMissing(question.step))
