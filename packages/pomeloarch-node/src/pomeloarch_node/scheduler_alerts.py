"""What a scheduler tells people: reasons of decisions, and alerts."""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable

import msgspec

from pomeloarch_core.gang.messages import (
    AlertKind,
    ClearAlert,
    Explanation,
    RaiseAlert,
)
from pomeloarch_node.metrics import Metrics

MAX_SUBJECTS = 5_000
MAX_REASONS = 10
MAX_REASON_LENGTH = 500


class AlertView(msgspec.Struct, frozen=True):
    """An alert as `GET /v1/status` shows it."""

    kind: AlertKind
    subject: str
    reason: str


class Explanations:
    """The last reasons about the subjects that changed last."""

    def __init__(self) -> None:
        """Starts with no reason."""
        self._reasons: OrderedDict[str, deque[str]] = OrderedDict()

    def add(self, explanation: Explanation) -> None:
        """Keeps a reason; the oldest ones give way."""
        reasons = self._reasons.setdefault(
            explanation.subject, deque(maxlen=MAX_REASONS)
        )
        self._reasons.move_to_end(explanation.subject)
        reason = explanation.reason[:MAX_REASON_LENGTH]
        if not reasons or reasons[-1] != reason:
            reasons.append(reason)
        if len(self._reasons) > MAX_SUBJECTS:
            self._reasons.popitem(last=False)

    def reasons_for(self, subject: str) -> list[str]:
        """Returns what is known of a subject, the newest last."""
        return list(self._reasons.get(subject, ()))


class Alerts:
    """Alerts that are not cleared, shown as gauges of 1.

    Args:
      metrics: the node's metrics.
      note: told of the subject and reason of each change.
    """

    def __init__(
        self, metrics: Metrics, on_change: Callable[[str, str], None]
    ) -> None:
        """Starts with no alert."""
        self._metrics = metrics
        self._on_change = on_change
        self._alerts: dict[tuple[AlertKind, str], RaiseAlert] = {}

    def raise_alert(self, alert: RaiseAlert) -> None:
        """Shows an alert."""
        if (alert.kind, alert.subject) not in self._alerts:
            self._on_change(f"{alert.kind.value}/{alert.subject}", alert.reason)
        self._alerts[alert.kind, alert.subject] = alert
        self._set_gauge(alert.kind, alert.subject, 1)

    def clear(self, alert: ClearAlert) -> None:
        """Takes an alert away."""
        if self._alerts.pop((alert.kind, alert.subject), None) is not None:
            self._set_gauge(alert.kind, alert.subject, 0)
            self._on_change(f"{alert.kind.value}/{alert.subject}", "cleared")

    def clear_all(self) -> None:
        """Takes all alerts away, as they are a new holder's to tell."""
        for kind, subject in self._alerts:
            self._set_gauge(kind, subject, 0)
        self._alerts.clear()

    def views(self) -> list[AlertView]:
        """Returns the alerts in the order in which they were raised."""
        return [
            AlertView(alert.kind, alert.subject, alert.reason)
            for alert in self._alerts.values()
        ]

    def _set_gauge(self, kind: AlertKind, subject: str, value: int) -> None:
        self._metrics.set(
            "scheduler_alert", value, kind=kind.value, subject=subject
        )
