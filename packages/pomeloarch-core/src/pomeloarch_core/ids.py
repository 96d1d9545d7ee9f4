"""Distinct types of identifiers, which a type checker keeps apart."""

from __future__ import annotations

from typing import NewType

OrganisationName = NewType("OrganisationName", str)
TeamName = NewType("TeamName", str)
CallerName = NewType("CallerName", str)
JobClassName = NewType("JobClassName", str)
ServiceName = NewType("ServiceName", str)
ShapeName = NewType("ShapeName", str)
PoolName = NewType("PoolName", str)
ZoneName = NewType("ZoneName", str)
RackId = NewType("RackId", str)
WorkerId = NewType("WorkerId", str)
ExecutorId = NewType("ExecutorId", str)
NodeId = NewType("NodeId", str)
JobId = NewType("JobId", str)
AttemptId = NewType("AttemptId", str)
RequestId = NewType("RequestId", str)
PublicationId = NewType("PublicationId", str)

# Ordered numbers: a higher epoch or generation replaces a lower one.
Epoch = NewType("Epoch", int)
Generation = NewType("Generation", int)
