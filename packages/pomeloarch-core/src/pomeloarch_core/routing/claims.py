"""Claims of idempotency keys: at most one run across all entry hosts.

A claim is a row that is written before any byte is sent to an executor, on the
condition that no other request has written it. It identifies its holder by a
token, so that a holder that missed the answer to its write can recognise its
own claim. A row in state `CLAIMED` never changes its holder; only a key whose
row says `NOT_RUN` may be claimed again.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

from pomeloarch_core.ids import NodeId, OrganisationName, ServiceName

TABLE = "request_keys"
MAX_STORED_BODY_BYTES = 32_768
# Time after its caller's deadline for which a claimed request counts as in
# progress, in seconds.
_SETTLE_GRACE_S = 5.0


class ClaimState(enum.Enum):
    """What is known about the request that claimed a key.

    Members:
      CLAIMED: its holder may be sending it.
      RAN: an executor answered it.
      NOT_RUN: it certainly did not run; the key may be claimed again.
      UNKNOWN: it may have run, and no answer is known.
    """

    CLAIMED = "claimed"
    RAN = "ran"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class StoredAnswer(msgspec.Struct, frozen=True):
    """An executor's complete answer, stored to answer repeated requests."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class Claim(msgspec.Struct, frozen=True):
    """The value of a row of the table `request_keys`.

    Attributes:
      token: identifies one request at one node.
      node: the node that received the request.
      fingerprint: distinguishes different requests with the same key.
      state: what is known about the request.
      deadline: when its caller stops waiting, in seconds of the wall clock.
      answer: the answer, None if there is none or it is too large to store.
    """

    token: str
    node: NodeId
    fingerprint: str
    state: ClaimState
    deadline: float
    answer: StoredAnswer | None = None


class KeyStatus(enum.Enum):
    """What the row of a key means for a request with this key.

    Members:
      FREE: the key may be claimed by a write conditional on the row's version.
      HELD: the row is this request's own claim.
      REPEAT: the first request ran; the row has its answer if it was stored.
      IN_PROGRESS: the first request is in progress.
      UNSETTLED: it is unknown whether the first request ran.
      KEY_REUSED: the key belongs to a different request.
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
      found: the value of the row, None if there is no row.
      own: the claim that the request would write.
      wall_now: the current time in seconds of the wall clock.
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
    if wall_now > found.deadline + _SETTLE_GRACE_S:
        return KeyStatus.UNSETTLED
    return KeyStatus.IN_PROGRESS


def settle(
    claim: Claim, state: ClaimState, answer: StoredAnswer | None
) -> Claim:
    """Returns the final row of a claim, without an answer that is too large."""
    if answer is not None and len(answer.body) > MAX_STORED_BODY_BYTES:
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
    """Returns a short digest that distinguishes repeats from new requests."""
    digest = hashlib.sha256(f"{method} {target}\n".encode())
    digest.update(body)
    return digest.hexdigest()[:32]


class ClaimBudget:
    """Limits the rate at which one node claims keys.

    Each claim costs the platform two writes, out of a budget that all its uses
    share.

    Args:
      per_s: claims per second on average.
      burst: maximum number of claims at once.

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
        self._available = burst
        self._filled_at = 0.0

    def try_spend(self, now: float) -> bool:
        """Spends one claim of the budget; returns False if none is left."""
        gained = (now - self._filled_at) * self._per_s
        self._available = min(self._burst, self._available + max(0.0, gained))
        self._filled_at = now
        if self._available < 1.0:
            return False
        self._available -= 1.0
        return True
