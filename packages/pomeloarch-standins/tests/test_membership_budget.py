"""Control traffic stays within its byte budget for any amount of digests."""

import pytest

from pomeloarch_standins.membership_fleet import MeasuredFleet

# Limit on the bytes that a node sends and receives, including packet headers.
BOTH_WAYS_BYTES_PER_S = 8_000
SECONDS = 20.0


@pytest.mark.parametrize(("zones", "nodes_per_zone"), [(3, 2), (1, 12), (6, 2)])
def test_each_node_keeps_its_byte_budget_when_digests_need_far_more(
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


def test_generations_spread_while_digests_use_all_remaining_bytes():
    fleet = MeasuredFleet(3, 2, seed=1, topics=20)
    fleet.run(10.0)
    for _ in range(10):
        fleet.publish()
        fleet.run(1.0)
        assert fleet.lowest_generation() == fleet.generation
