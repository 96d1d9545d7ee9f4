"""Tests of witness and placement against exhaustive search."""

from hypothesis import given, settings
from hypothesis import strategies as st

from pomeloarch_core.gang.fleet import Fleet
from pomeloarch_core.gang.messages import WorkerInfo
from pomeloarch_core.gang.placement import Need, find_slots
from pomeloarch_core.gang.witness import Witness
from pomeloarch_core.objects.model import Adjacency, GuaranteedShape
from pomeloarch_standins.naive_gang import (
    NaiveShape,
    can_hold_all,
    can_place,
)

_ACCELERATORS_PER_WORKER = 4
_MIN_EXAMPLES = 500

_fleets = st.lists(
    st.lists(st.integers(0, _ACCELERATORS_PER_WORKER), min_size=1, max_size=3),
    min_size=1,
    max_size=3,
)
_shapes = st.lists(
    st.tuples(
        st.integers(1, 3),
        st.integers(1, _ACCELERATORS_PER_WORKER),
        st.integers(1, 2),
    ),
    max_size=3,
)


def _examples():
    return max(_MIN_EXAMPLES, settings.default.max_examples)


def _fleet(racks):
    """Creates workers whose accelerators are partly held by fixed jobs."""
    fleet = Fleet()
    names = {}
    infos = []
    for number, rack in enumerate(racks):
        names[f"r{number}"] = [f"w{number}-{i}" for i in range(len(rack))]
        infos.extend(
            WorkerInfo(
                worker_id=name,
                availability_zone="zone",
                pool="gpu",
                rack=f"r{number}",
                accelerators=_ACCELERATORS_PER_WORKER,
                memory_gb=64.0,
            )
            for name in names[f"r{number}"]
        )
    fleet.update_listing(infos)
    reservable = {}
    for number, rack in enumerate(racks):
        for index, fixed in enumerate(rack):
            worker = fleet.workers[f"w{number}-{index}"]
            worker.fixed = fixed
            worker.reported = True
            worker.holders = dict.fromkeys(range(fixed), "job")
            fleet.reindex(worker)
            reservable[worker.worker_id] = _ACCELERATORS_PER_WORKER - fixed
    return fleet, names, reservable


def _guarantees(shapes):
    return [
        GuaranteedShape(
            name=f"s{number}",
            organisation="o",
            worker_pool="gpu",
            hosts=hosts,
            accelerators_per_host=size,
            count=count,
        )
        for number, (hosts, size, count) in enumerate(shapes)
    ]


def _naive_shapes(shapes):
    return [
        NaiveShape(hosts, size)
        for hosts, size, count in shapes
        for _ in range(count)
    ]


def _check_cells(witness, fleet, reservable):
    """Checks that the cells of placed instances fit where they are."""
    left = dict(reservable)
    for instance in witness.instances:
        if not instance.is_placed:
            continue
        workers = [cell.worker_id for cell in instance.cells]
        assert len({fleet.workers[w].info.rack for w in workers}) == 1
        assert len(set(workers)) == len(workers)
        for worker_id in workers:
            left[worker_id] -= instance.shape.accelerators_per_host
    assert min(left.values()) >= 0


@settings(max_examples=_examples())
@given(racks=_fleets, shapes=_shapes)
def test_fuzz_witness_is_found_whenever_one_exists(racks, shapes):
    fleet, names, reservable = _fleet(racks)
    witness = Witness(fleet)
    witness.replace_shapes(_guarantees(shapes))
    _check_cells(witness, fleet, reservable)
    possible = can_hold_all(names, reservable, _naive_shapes(shapes))
    assert (not witness.unplaced()) is possible


@settings(max_examples=_examples())
@given(racks=_fleets, shapes=_shapes, lost_index=st.integers(0, 8))
def test_fuzz_witness_is_repaired_after_loss_of_a_worker(
    racks, shapes, lost_index
):
    fleet, names, reservable = _fleet(racks)
    witness = Witness(fleet)
    witness.replace_shapes(_guarantees(shapes))
    workers = list(fleet.workers.values())
    worker = workers[lost_index % len(workers)]
    worker.unreachable = True
    fleet.reindex(worker)
    witness.handle_worker_loss(worker)
    reservable[worker.worker_id] = 0
    _check_cells(witness, fleet, reservable)
    possible = can_hold_all(names, reservable, _naive_shapes(shapes))
    assert (not witness.unplaced()) is possible


@settings(max_examples=_examples())
@given(
    racks=_fleets,
    shapes=_shapes,
    wanted=st.integers(1, _ACCELERATORS_PER_WORKER),
)
def test_fuzz_guarantee_moves_exactly_when_another_place_exists(
    racks, shapes, wanted
):
    fleet, names, reservable = _fleet(racks)
    witness = Witness(fleet)
    witness.replace_shapes(_guarantees(shapes))
    if witness.unplaced():
        return
    for worker in fleet.workers.values():
        if reservable[worker.worker_id] < wanted:
            continue
        taken = {
            **reservable,
            worker.worker_id: reservable[worker.worker_id] - wanted,
        }
        possible = can_hold_all(names, taken, _naive_shapes(shapes))
        assert witness.make_room(worker, wanted) is possible
        assert not witness.unplaced()
        _check_cells(witness, fleet, reservable)


@settings(max_examples=_examples())
@given(
    racks=_fleets,
    members=st.integers(1, 10),
    size=st.integers(1, _ACCELERATORS_PER_WORKER),
    adjacency=st.sampled_from(Adjacency),
)
def test_fuzz_gang_is_placed_whenever_it_fits(racks, members, size, adjacency):
    fleet, names, reservable = _fleet(racks)
    if members == 1:
        adjacency = Adjacency.HOST
    need = Need(members, size, 1.0, adjacency)
    index = fleet.pools["gpu"].free
    slots = find_slots(index, fleet, need)
    possible = can_place(names, reservable, members, size, adjacency)
    assert (slots is not None) is possible
    for slot in slots or ():
        assert reservable[slot.worker_id] >= slot.count * size
    if slots:
        assert sum(slot.count for slot in slots) == members


def test_relisted_worker_has_its_former_capacity():
    fleet, _, _ = _fleet([[0, 0]])
    infos = [worker.info for worker in fleet.workers.values()]
    witness = Witness(fleet)
    witness.replace_shapes(_guarantees([(2, 2, 1)]))
    unlisted = fleet.update_listing(infos[:1])
    for worker in unlisted:
        witness.handle_worker_loss(worker)
    assert len(witness.unplaced()) == 1
    fleet.update_listing(infos)
    assert [worker.reservable for worker in fleet.workers.values()] == [4, 4]
