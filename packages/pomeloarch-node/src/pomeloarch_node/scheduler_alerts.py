"""Keeps a scheduler's alerts and the reasons of its decisions for people."""

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

# Maximum number of subjects whose reasons are kept.
MAX_SUBJECTS = 5_000
# Maximum number of reasons kept for a subject.
MAX_REASONS = 10
# Number of characters after which a reason is cut off.
MAX_REASON_LENGTH = 500


class AlertView(msgspec.Struct, frozen=True):
    """An alert as `GET /v1/status` returns it."""

    kind: AlertKind
    subject: str
    reason: str


class Explanations:
    """Latest reasons about the subjects that changed most recently."""

    def __init__(self) -> None:
        """Starts without reasons."""
        self._reasons: OrderedDict[str, deque[str]] = OrderedDict()

    def add(self, explanation: Explanation) -> None:
        """Adds a reason and drops the oldest ones beyond the limits."""
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
        """Returns the known reasons about a subject, the newest last."""
        return list(self._reasons.get(subject, ()))


class Alerts:
    """Alerts that are not cleared, exported as gauges of value 1.

    Args:
      metrics: the node's metrics.
      on_change: called with the subject and reason of each change.
    """

    def __init__(
        self, metrics: Metrics, on_change: Callable[[str, str], None]
    ) -> None:
        """Starts without alerts."""
        self._metrics = metrics
        self._on_change = on_change
        self._alerts: dict[tuple[AlertKind, str], RaiseAlert] = {}

    def raise_alert(self, alert: RaiseAlert) -> None:
        """Adds an alert, or replaces the one with its kind and subject."""
        if (alert.kind, alert.subject) not in self._alerts:
            self._on_change(f"{alert.kind.value}/{alert.subject}", alert.reason)
        self._alerts[alert.kind, alert.subject] = alert
        self._set_gauge(alert.kind, alert.subject, 1)

    def clear(self, alert: ClearAlert) -> None:
        """Removes an alert."""
        if self._alerts.pop((alert.kind, alert.subject), None) is not None:
            self._set_gauge(alert.kind, alert.subject, 0)
            self._on_change(f"{alert.kind.value}/{alert.subject}", "cleared")

    def clear_all(self) -> None:
        """Removes all alerts, because the next holder raises its own."""
        for kind, subject in self._alerts:
            self._set_gauge(kind, subject, 0)
        self._alerts.clear()

    def views(self) -> list[AlertView]:
        """Returns the alerts in the order in which they were first raised."""
        return [
            AlertView(alert.kind, alert.subject, alert.reason)
            for alert in self._alerts.values()
        ]

    def _set_gauge(self, kind: AlertKind, subject: str, value: int) -> None:
        self._metrics.set(
            "scheduler_alert", value, kind=kind.value, subject=subject
        )
