"""Control traffic stays within its bytes, whatever the digests ask for."""

import pytest

from pomeloarch_standins.membership_fleet import MeasuredFleet

# 8 KB a second both ways together, packet headers included.
BOTH_WAYS_BYTES_PER_S = 8_000
SECONDS = 20.0


@pytest.mark.parametrize(("zones", "nodes_per_zone"), [(3, 2), (1, 12), (6, 2)])
def test_each_node_keeps_to_its_bytes_when_digests_would_need_far_more(
    zones, nodes_per_zone
):
    fleet = MeasuredFleet(zones, nodes_per_zone, seed=1, topics=20)
    fleet.run(10.0)
    fleet.reset_counts()
    for _ in range(int(SECONDS)):
        fleet.publish()
        fleet.run(1.0)
    for node in fleet.nodes.values():
        both = (node.bytes_sent + node.bytes_received) / SECONDS
        assert both <= BOTH_WAYS_BYTES_PER_S, node.name


def test_generations_pass_while_digests_use_all_the_bytes_left():
    fleet = MeasuredFleet(3, 2, seed=1, topics=20)
    fleet.run(10.0)
    for _ in range(10):
        fleet.publish()
        fleet.run(1.0)
        assert fleet.lowest() == fleet.generation
