"""Tests the catalogue of services, on lists of hosts with invalid entries."""

import random

import pytest

from pomeloarch_core.ids import Generation, PublicationId, ZoneName
from pomeloarch_core.objects.model import (
    JobClass,
    ObjectSet,
    Route,
    Service,
    Snapshot,
    Urgency,
)
from pomeloarch_node.platform import Host, HostKind
from pomeloarch_node.request_catalogue import Catalogue


@pytest.mark.parametrize(
    ("listed", "used"), [(4, 4), (0, 8), ("many", 8), (None, 8)]
)
def test_invalid_number_of_slots_is_replaced_by_default(listed, used):
    """Guards against a node that fails on an invalid entry of the list."""
    catalogue = Catalogue(ZoneName("patan"), random.Random(1))
    catalogue.apply_snapshot(
        Snapshot(
            Generation(1),
            PublicationId("first"),
            ObjectSet(
                job_class=(JobClass("dye-check", Urgency.URGENT),),
                service=(Service("desk", (), (Route("/", "dye-check"),)),),
            ),
        )
    )
    attributes = {"service": "desk", "slots": listed}
    host = Host("e-1", HostKind.EXECUTOR, "patan", "10.0.0.1:80")
    catalogue.update_hosts(
        [
            Host(
                host.id,
                host.kind,
                host.availability_zone,
                host.address,
                attributes=attributes,
            )
        ]
    )
    assert catalogue.routers["desk"].pool.slots() == used
