"""Reads the workers of a zone from the platform's list of hosts."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec

from pomeloarch_core.gang.messages import WorkerInfo
from pomeloarch_core.ids import PoolName, RackId, WorkerId, ZoneName
from pomeloarch_node.platform import Host, HostKind, HostState


class _Attributes(msgspec.Struct):
    pool: PoolName
    rack: RackId
    accelerators: int
    memory_gb: float


def worker_info(host: Host) -> WorkerInfo | None:
    """Returns the worker that an entry describes.

    The result is None if the entry isn't a worker's or its attributes are
    incomplete.
    """
    if host.kind is not HostKind.WORKER:
        return None
    try:
        attributes = msgspec.convert(host.attributes, _Attributes)
    except msgspec.ValidationError:
        return None
    return WorkerInfo(
        worker_id=WorkerId(host.id),
        availability_zone=ZoneName(host.availability_zone),
        pool=attributes.pool,
        rack=attributes.rack,
        accelerators=attributes.accelerators,
        memory_gb=attributes.memory_gb,
        leaving=host.state is HostState.LEAVING,
    )


def zone_workers(
    hosts: Iterable[Host], zone: ZoneName
) -> dict[WorkerId, tuple[WorkerInfo, str]]:
    """Returns the workers of a zone with their addresses, by worker id."""
    found = {}
    for host in hosts:
        info = worker_info(host)
        if info is not None and info.availability_zone == zone:
            found[info.worker_id] = (info, host.address)
    return found
