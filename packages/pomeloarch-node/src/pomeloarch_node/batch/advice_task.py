"""Asks the advice service, one question at a time."""

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

# Questions that wait; more than the service would let wait for all nodes.
MOST_WAITING = 32


class AdviceTask:
    """Puts the scheduler's questions to the service in turn.

    Args:
      service: the service; None where there is none.
      emit: takes events for the scheduler.
      clock: monotonic time, in seconds.
      log: where questions without an answer are written.
    """

    def __init__(
        self,
        service: AdviceService | None,
        emit: Callable[[Event], None],
        clock: Callable[[], float],
        log: DecisionLog,
    ) -> None:
        """Starts without questions."""
        self._service = service
        self._emit = emit
        self._clock = clock
        self._log = log
        self._questions: asyncio.Queue[RequestAdvice] = asyncio.Queue(
            MOST_WAITING
        )

    def ask(self, question: RequestAdvice) -> None:
        """Takes a question; one too many counts as without an answer."""
        try:
            self._questions.put_nowait(question)
        except asyncio.QueueFull:
            self._emit(AdviceMissing(question.step))

    async def run(self) -> None:
        """Asks until it is cancelled."""
        while True:
            await self._put(await self._questions.get())

    async def _put(self, question: RequestAdvice) -> None:
        if self._service is None:
            self._log.write("advice missing", step=str(question.step))
            self._emit(AdviceMissing(question.step))
            return
        asked_at = self._clock()
        answer = await self._service.ask(question.step, question.worker_ids)
        if isinstance(answer, Ok):
            advice = answer.ok_value
            self._emit(
                AdviceGiven(
                    question.step,
                    question.worker_ids,
                    advice.tickets,
                    asked_at + advice.valid_s,
                )
            )
            return
        self._log.write(
            "advice missing", step=str(question.step), reason=answer.err_value
        )
        self._emit(AdviceMissing(question.step))
