"""The named objects that operators edit, check and publish."""

from pomeloarch_core.objects.model import (
    Adjacency,
    AvailabilityZone,
    GuaranteedShape,
    JobClass,
    ObjectSet,
    Organisation,
    OveruseAction,
    Protection,
    Route,
    Service,
    Snapshot,
    Team,
    UpstreamGroup,
    Urgency,
    WorkerPool,
)

__all__ = [
    "Adjacency",
    "AvailabilityZone",
    "GuaranteedShape",
    "JobClass",
    "ObjectSet",
    "Organisation",
    "OveruseAction",
    "Protection",
    "Route",
    "Service",
    "Snapshot",
    "Team",
    "UpstreamGroup",
    "Urgency",
    "WorkerPool",
]
