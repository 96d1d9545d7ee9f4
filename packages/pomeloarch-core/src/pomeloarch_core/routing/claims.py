"""Claims of idempotency keys: at most one run over all entry hosts.

A claim is a row written on the condition that nobody else has written it,
before any byte goes to an executor. It names its holder by a token, so that
a holder whose answer was lost finds its own claim again. A claimed row never
changes hands; only a row that says `NOT_RUN` may be claimed anew.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

from pomeloarch_core.ids import NodeId, OrganisationName, ServiceName

TABLE = "request_keys"
LARGEST_STORED_BYTES = 32_768
_SETTLED_WITHIN_S = 5.0


class ClaimState(enum.Enum):
    """What is known of the request that claimed a key.

    Members:
      CLAIMED: its holder may be sending it.
      RAN: an executor answered it.
      NOT_RUN: it certainly did not run; the key is free again.
      UNKNOWN: it may have run, and no answer is known.
    """

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True):
    """The executor's whole answer, kept for repeats."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim(msgspec.Struct, frozen=True):
    """The value of a row of the table `request_keys`.

    Attributes:
      token: names one request at one node.
      node: the node that took the request.
      fingerprint: tells requests with the same key apart.
      state: what is known of the request.
      deadline: when its caller stops waiting, in seconds of the wall clock.
      answer: the answer, None if there is none or it is too large.
    """

    token: str
    node: NodeId
    fingerprint: str
    state: ClaimState
    deadline: float
    answer: StoredAnswer | None = None


class KeyStatus(enum.Enum):
    """What a row found under a key means for a request.

    Members:
      FREE: it may be claimed by a write on the row's version.
      HELD: it is this request's own claim.
      REPEAT: the first request ran; its answer is the row's, if stored.
      IN_PROGRESS: the first request is in progress.
      UNSETTLED: it is unknown whether the first request ran.
      KEY_REUSED: the first request was another one.
    """

    FREE = "free"
    HELD = "held"
    REPEAT = "repeat"
    IN_PROGRESS = "in_progress"
    UNSETTLED = "unsettled"
    KEY_REUSED = "key_reused"


def classify_claim(
    found: Claim | None, own: Claim, wall_now: float
) -> KeyStatus:
    """Returns what a row means for the request of a claim.

    Args:
      found: the row's value, None if there is no row.
      own: the claim that the request would write.
      wall_now: the present time in seconds of the wall clock.
    """
    if found is None:
        return KeyStatus.FREE
    if found.token == own.token:
        return KeyStatus.HELD
    if found.fingerprint != own.fingerprint:
        return KeyStatus.KEY_REUSED
    if found.state is ClaimState.NOT_RUN:
        return KeyStatus.FREE
    if found.state is ClaimState.RAN:
        return KeyStatus.REPEAT
    if found.state is ClaimState.UNKNOWN:
        return KeyStatus.UNSETTLED
    if wall_now > found.deadline + _SETTLED_WITHIN_S:
        return KeyStatus.UNSETTLED
    return KeyStatus.IN_PROGRESS


def settle(
    claim: Claim, state: ClaimState, answer: StoredAnswer | None
) -> Claim:
    """Returns a claim's final row; a large answer is left out of it."""
    if answer is not None and len(answer.body) > LARGEST_STORED_BYTES:
        answer = None
    return msgspec.structs.replace(claim, state=state, answer=answer)


def row_key(
    service: ServiceName, organisation: OrganisationName, key: str
) -> str:
    """Returns the key of a claim's row.

    >>> row_key("scorer", "qasr", "lot-7")
    'scorer/qasr/lot-7'
    """
    return f"{service}/{organisation}/{key}"


def fingerprint(method: str, target: str, body: bytes) -> str:
    """Returns a short digest by which a repeat is told from a new request."""
    digest = hashlib.sha256(f"{method} {target}\n".encode())
    digest.update(body)
    return digest.hexdigest()[:32]


class ClaimBudget:
    """Bounds the rate at which one node claims keys.

    Each claim costs the platform two writes of its budget for everything.

    Args:
      per_s: claims a second.
      burst: claims at once after a pause.

    >>> budget = ClaimBudget(per_s=1.0, burst=2.0)
    >>> [budget.try_spend(now=5.0) for _ in range(3)]
    [True, True, False]
    >>> budget.try_spend(now=6.0)
    True
    """

    def __init__(self, per_s: float = 25.0, burst: float = 50.0) -> None:
        """Starts full."""
        self._per_s = per_s
        self._burst = burst
        self._left = burst
        self._filled_at = 0.0

    def try_spend(self, now: float) -> bool:
        """Takes one claim out of the budget, if there is one left."""
        gained = (now - self._filled_at) * self._per_s
        self._left = min(self._burst, self._left + max(0.0, gained))
        self._filled_at = now
        if self._left < 1.0:
            return False
        self._left -= 1.0
        return True
