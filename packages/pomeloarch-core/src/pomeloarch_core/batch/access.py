"""Which organisations may read and cancel a job."""

from __future__ import annotations

from pomeloarch_core.ids import OrganisationName

# The organisation of jobs of public queues, and of callers without a key.
NO_ORGANISATION = OrganisationName("")


def may_access(owner: OrganisationName, caller: OrganisationName) -> bool:
    """Returns whether a caller may read and cancel a job.

    Jobs and callers without an organisation are not kept apart.

    Args:
      owner: the organisation that submitted the job.
      caller: the caller's organisation.
    """
    return owner == NO_ORGANISATION or caller in (NO_ORGANISATION, owner)
