"""Guarantees and placement against exhaustive search on small fleets."""

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

_SIZE = 4
_EXAMPLES = 500

_fleets = st.lists(
    st.lists(st.integers(0, _SIZE), min_size=1, max_size=3),
    min_size=1,
    max_size=3,
)
_shapes = st.lists(
    st.tuples(st.integers(1, 3), st.integers(1, _SIZE), st.integers(1, 2)),
    max_size=3,
)


def _examples():
    return max(_EXAMPLES, settings.default.max_examples)


def _fleet(racks):
    """Makes workers whose accelerators are partly held by fixed work."""
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
                accelerators=_SIZE,
                memory_gb=64.0,
            )
            for name in names[f"r{number}"]
        )
    fleet.replace(infos)
    room = {}
    for number, rack in enumerate(racks):
        for index, fixed in enumerate(rack):
            worker = fleet.workers[f"w{number}-{index}"]
            worker.fixed = fixed
            worker.reported = True
            worker.used = dict.fromkeys(range(fixed), "job")
            fleet.touch(worker)
            room[worker.worker_id] = _SIZE - fixed
    return fleet, names, room


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


def _naive(shapes):
    return [
        NaiveShape(hosts, size)
        for hosts, size, count in shapes
        for _ in range(count)
    ]


def _check_cells(witness, fleet, room):
    """Every cell of a placed instance stands where it may."""
    left = dict(room)
    for instance in witness.instances:
        if not instance.placed:
            continue
        workers = [cell.worker_id for cell in instance.cells]
        assert len({fleet.workers[w].info.rack for w in workers}) == 1
        assert len(set(workers)) == len(workers)
        for worker_id in workers:
            left[worker_id] -= instance.shape.accelerators_per_host
    assert min(left.values()) >= 0


@settings(max_examples=_examples())
@given(racks=_fleets, shapes=_shapes)
def test_fuzz_a_witness_is_found_whenever_there_is_one(racks, shapes):
    fleet, names, room = _fleet(racks)
    witness = Witness(fleet)
    witness.replace_shapes(_guarantees(shapes))
    _check_cells(witness, fleet, room)
    possible = can_hold_all(names, room, _naive(shapes))
    assert (not witness.short()) is possible


@settings(max_examples=_examples())
@given(racks=_fleets, shapes=_shapes, lost=st.integers(0, 8))
def test_fuzz_a_witness_is_repaired_after_the_loss_of_a_worker(
    racks, shapes, lost
):
    fleet, names, room = _fleet(racks)
    witness = Witness(fleet)
    witness.replace_shapes(_guarantees(shapes))
    workers = list(fleet.workers.values())
    worker = workers[lost % len(workers)]
    worker.unreachable = True
    fleet.touch(worker)
    witness.worker_lost(worker)
    room[worker.worker_id] = 0
    _check_cells(witness, fleet, room)
    possible = can_hold_all(names, room, _naive(shapes))
    assert (not witness.short()) is possible


@settings(max_examples=_examples())
@given(racks=_fleets, shapes=_shapes, wanted=st.integers(1, _SIZE))
def test_fuzz_a_guarantee_makes_way_exactly_when_another_place_is_left(
    racks, shapes, wanted
):
    fleet, names, room = _fleet(racks)
    witness = Witness(fleet)
    witness.replace_shapes(_guarantees(shapes))
    if witness.short():
        return
    for worker in fleet.workers.values():
        if room[worker.worker_id] < wanted:
            continue
        taken = {**room, worker.worker_id: room[worker.worker_id] - wanted}
        possible = can_hold_all(names, taken, _naive(shapes))
        assert witness.make_way(worker, wanted) is possible
        assert not witness.short()
        _check_cells(witness, fleet, room)


@settings(max_examples=_examples())
@given(
    racks=_fleets,
    members=st.integers(1, 10),
    size=st.integers(1, _SIZE),
    adjacency=st.sampled_from(Adjacency),
)
def test_fuzz_a_gang_is_placed_whenever_it_fits_as_a_whole(
    racks, members, size, adjacency
):
    fleet, names, room = _fleet(racks)
    if members == 1:
        adjacency = Adjacency.HOST
    need = Need(members, size, 1.0, adjacency)
    index = fleet.pools["gpu"].free
    slots = find_slots(index, fleet, need)
    possible = can_place(names, room, members, size, adjacency)
    assert (slots is not None) is possible
    for slot in slots or ():
        assert room[slot.worker_id] >= slot.count * size
    if slots:
        assert sum(slot.count for slot in slots) == members


def test_a_worker_that_comes_back_has_its_own_room_and_no_more():
    fleet, _, _ = _fleet([[0, 0]])
    infos = [worker.info for worker in fleet.workers.values()]
    witness = Witness(fleet)
    witness.replace_shapes(_guarantees([(2, 2, 1)]))
    gone = fleet.replace(infos[:1])
    for worker in gone:
        witness.worker_lost(worker)
    assert len(witness.short()) == 1
    fleet.replace(infos)
    assert [worker.room for worker in fleet.workers.values()] == [4, 4]
