"""Liveness of nodes, digests between them, leased roles and generations."""

from pomeloarch_core.membership.budget import TokenBucket
from pomeloarch_core.membership.config import MembershipConfig
from pomeloarch_core.membership.lease import (
    LeaseConfig,
    LeaseMachine,
    LeaseRow,
    ReadRow,
    WriteRow,
)
from pomeloarch_core.membership.messages import (
    MAX_DIGEST_BYTES,
    MAX_MESSAGE_BYTES,
    Frame,
    NodeState,
    Rumour,
)
from pomeloarch_core.membership.protocol import MembershipProtocol

__all__ = [
    "MAX_DIGEST_BYTES",
    "MAX_MESSAGE_BYTES",
    "Frame",
    "LeaseConfig",
    "LeaseMachine",
    "LeaseRow",
    "MembershipConfig",
    "MembershipProtocol",
    "NodeState",
    "ReadRow",
    "Rumour",
    "TokenBucket",
    "WriteRow",
]
