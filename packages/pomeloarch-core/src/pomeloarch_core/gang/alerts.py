"""Standing alerts, and the reasons kept for `explain`."""

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

# Reasons that are kept; the oldest is dropped beyond this.
_MAX_EXPLANATIONS = 10_000


class Alerts:
    """Raises and clears alerts and reports each change once.

    Args:
      decisions: the list to which decisions are appended.
    """

    def __init__(self, decisions: list[Decision]) -> None:
        """Creates a set without standing alerts."""
        self._decisions = decisions
        self._raised: dict[tuple[AlertKind, str], str] = {}

    def update(self, kind: AlertKind, causes: dict[str, str]) -> None:
        """Replaces the standing alerts of one kind.

        Args:
          kind: the kind.
          causes: the reason of each alert by its subject; alerts of other
            subjects are cleared.
        """
        for subject in self.subjects(kind):
            if subject not in causes:
                del self._raised[kind, subject]
                self._decisions.append(ClearAlert(kind, subject))
        for subject, reason in causes.items():
            if self._raised.get((kind, subject)) != reason:
                self._raised[kind, subject] = reason
                self._decisions.append(RaiseAlert(kind, subject, reason))

    def subjects(self, kind: AlertKind) -> list[str]:
        """Returns the subjects of the standing alerts of a kind."""
        return [subject for k, subject in self._raised if k is kind]

    def reasons(self, kind: AlertKind) -> dict[str, str]:
        """Returns the reasons of the standing alerts of a kind by subject."""
        return {
            s: reason for (k, s), reason in self._raised.items() if k is kind
        }


class Explanations:
    """The latest reason for each job, including some that have ended.

    Args:
      decisions: the list to which decisions are appended.
    """

    def __init__(self, decisions: list[Decision]) -> None:
        """Creates an empty set of reasons."""
        self._decisions = decisions
        self._reasons: OrderedDict[str, str] = OrderedDict()

    def record(self, subject: JobId, reason: str) -> None:
        """Keeps a reason and emits it as a decision."""
        self._reasons[subject] = reason
        self._reasons.move_to_end(subject)
        if len(self._reasons) > _MAX_EXPLANATIONS:
            self._reasons.popitem(last=False)
        self._decisions.append(Explanation(subject, reason))

    def find(self, subject: str) -> str | None:
        """Returns the latest reason for a subject, if it is still kept."""
        return self._reasons.get(subject)
