"""Alerts that stand, and the explanations that people ask for."""

from __future__ import annotations

from collections import OrderedDict

from pomeloarch_core.gang.messages import (
    AlertKind,
    ClearAlert,
    Decision,
    Explanation,
    RaiseAlert,
)
from pomeloarch_core.ids import JobId

_EXPLANATIONS = 10_000


class Alerts:
    """Raises and clears alerts, each change once.

    Args:
      out: where decisions are collected.
    """

    def __init__(self, out: list[Decision]) -> None:
        """Starts without alerts."""
        self._out = out
        self._raised: dict[tuple[AlertKind, str], str] = {}

    def update(self, kind: AlertKind, causes: dict[str, str]) -> None:
        """Makes the alerts of a kind be exactly some causes.

        Args:
          kind: the kind.
          causes: the reason of each alert by its subject.
        """
        for subject in self.subjects(kind):
            if subject not in causes:
                del self._raised[kind, subject]
                self._out.append(ClearAlert(kind, subject))
        for subject, reason in causes.items():
            if self._raised.get((kind, subject)) != reason:
                self._raised[kind, subject] = reason
                self._out.append(RaiseAlert(kind, subject, reason))

    def subjects(self, kind: AlertKind) -> list[str]:
        """Returns the subjects of the alerts of a kind that stand."""
        return [subject for k, subject in self._raised if k is kind]

    def reasons(self, kind: AlertKind) -> dict[str, str]:
        """Returns the reasons of the alerts of a kind by subject."""
        return {s: why for (k, s), why in self._raised.items() if k is kind}


class Explanations:
    """The last reason for each job, also of some that have ended.

    Args:
      out: where decisions are collected.
    """

    def __init__(self, out: list[Decision]) -> None:
        """Starts without reasons."""
        self._out = out
        self._reasons: OrderedDict[str, str] = OrderedDict()

    def note(self, subject: JobId, reason: str) -> None:
        """Keeps a reason and hands it out."""
        self._reasons[subject] = reason
        self._reasons.move_to_end(subject)
        if len(self._reasons) > _EXPLANATIONS:
            self._reasons.popitem(last=False)
        self._out.append(Explanation(subject, reason))

    def find(self, subject: str) -> str | None:
        """Returns the last reason for a subject, if it is still kept."""
        return self._reasons.get(subject)
