"""The counts of free places, compared with a search over all workers."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from pomeloarch_core.batch.fleet import Worker
from pomeloarch_core.batch.free_places import MAX_SIZES, ServicePlaces
from pomeloarch_core.batch.groups import GroupState, JobEntry
from pomeloarch_core.batch.messages import (
    Incarnation,
    RunNumber,
    TaskId,
    WorkerInfo,
)
from pomeloarch_core.batch.model import (
    BatchJob,
    Queue,
    QueueName,
    Resources,
    Step,
)
from pomeloarch_core.batch.placing import FREE_ROOM, find_placement
from pomeloarch_core.batch.rows import JobRow
from pomeloarch_core.ids import (
    JobId,
    OrganisationName,
    ServiceName,
    WorkerId,
    ZoneName,
)

SERVICE = ServiceName("s")
QUEUE = Queue(QueueName("q"), SERVICE)
RACKS = ("r0", "r1", "r2")
WORKERS = 6
NEEDS = (
    Resources(8_000, 8_000, 1),
    Resources(16_000, 4_000, 4),
    Resources(1_000, 60_000, 0),
    Resources(0, 0, 8),
)


def make_info(number, cpu=64_000, rack=None):
    rack = rack or RACKS[number % len(RACKS)]
    return WorkerInfo(
        WorkerId(f"w{number}"),
        SERVICE,
        "",
        ZoneName("z"),
        Resources(cpu, 64_000, 8),
        frozenset({"a", rack}),
        rack,
        incarnation=Incarnation(1),
    )


def make_entry(*steps):
    job = BatchJob(
        JobId("0" * 16), QUEUE.name, OrganisationName("o"), QUEUE, "", steps
    )
    return JobEntry(job, JobRow.from_job(job), QUEUE, False, 0.0)


def make_group(step):
    return make_entry(step).groups[0, 0][0]


changes = st.lists(
    st.tuples(
        st.sampled_from(
            ["allocate", "claim", "release", "unaccounted", "listed", "usable"]
        ),
        st.integers(0, WORKERS - 1),
        st.integers(0, len(NEEDS) - 1),
    ),
    max_size=40,
)
groups = st.builds(
    Step,
    count=st.integers(1, 12),
    need=st.sampled_from(NEEDS),
    gang=st.just(True),
    same_rack=st.booleans(),
    data_rack=st.sampled_from(["", *RACKS]),
)


class Workers:
    """Workers that change at random, and the index that follows them."""

    def __init__(self):
        self.all = [Worker(make_info(n)) for n in range(WORKERS)]
        self.unusable = set()
        self.allocated = []
        self.places = ServicePlaces()

    @property
    def usable(self):
        return [w for n, w in enumerate(self.all) if n not in self.unusable]

    def change(self, kind, number, which):
        worker, need = self.all[number], NEEDS[which]
        if kind in ("allocate", "claim"):
            group = make_group(Step(1, need))
            worker.allocate(group, need, kind == "claim")
            self.allocated.append((worker, group, need, kind == "claim"))
        elif kind == "release" and self.allocated:
            worker, group, need, claimed = self.allocated.pop(
                number % len(self.allocated)
            )
            worker.release(group, need, claimed)
        elif kind == "unaccounted":
            task = TaskId(JobId("1" * 16), 0, 0, which)
            if worker.unaccounted_runs:
                worker.drop_unaccounted_run(task, RunNumber(1))
            else:
                worker.add_unaccounted_run(task, RunNumber(1), need, 0.0)
        elif kind == "listed":
            info = make_info(number, 8_000 * which, RACKS[which % 3])
            worker.update_info(info)
        elif kind == "usable":
            self.unusable ^= {number}


@given(rounds=st.lists(changes, max_size=5), step=groups, far=st.booleans())
def test_counts_are_those_of_a_search_over_all_workers(rounds, step, far):
    workers, group = Workers(), make_group(step)
    for each_round in [[], *rounds]:
        for change in each_round:
            workers.change(*change)
        workers.places.refresh(workers.usable)
        for need in NEEDS:
            assert workers.places.places(need).counts == {
                each: count
                for each in workers.usable
                if (count := need.count_fitting_in(each.free))
            }
        found = find_placement(group, workers.usable, FREE_ROOM, far)
        places = workers.places.places(step.need)
        assert found is None or places.may_hold(group, far)


@given(changes=changes)
def test_cached_counts_of_a_worker_follow_its_resources(changes):
    workers = Workers()
    for change in changes:
        for each in workers.all:
            for need in NEEDS:
                each.count_fitting(need)
                each.count_fitting_empty(need)
        workers.change(*change)
        for each in workers.all:
            for need in NEEDS:
                assert each.count_fitting(need) == need.count_fitting_in(
                    each.unused - each._claimed
                )
                capacity = each.info.capacity
                assert each.count_fitting_empty(need) == (
                    need.count_fitting_in(capacity)
                )


def test_claim_within_a_round_is_seen():
    workers = Workers()
    workers.places.refresh(workers.usable)
    need = NEEDS[0]
    before = sum(workers.places.places(need).counts.values())
    worker = workers.all[0]
    worker.allocate(make_group(Step(1, need)), need, claimed=True)
    workers.places.update(worker)
    assert sum(workers.places.places(need).counts.values()) == before - 1


def test_sizes_that_are_not_asked_for_any_more_are_dropped():
    workers = Workers()
    workers.places.refresh(workers.usable)
    for cpu in range(3 * MAX_SIZES):
        workers.places.places(Resources(cpu + 1, 0, 0))
    assert len(workers.places._places) == MAX_SIZES


@given(
    moves=st.lists(
        st.tuples(st.integers(0, 4), st.sampled_from(list(GroupState))),
        max_size=30,
    )
)
def test_job_knows_the_states_of_its_groups(moves):
    entry = make_entry(Step(3, NEEDS[0]), Step(2, NEEDS[0], gang=True))
    steps = {
        (0, 0): [entry.groups[0, 0][index] for index in range(3)],
        (0, 1): [entry.groups[0, 1][0]],
    }
    all_groups = [each for groups in steps.values() for each in groups]
    for number, state in moves:
        group = all_groups[number % len(all_groups)]
        if group.state is GroupState.ENDED:
            # It stays so, and the job forgets it.
            assert group not in entry.all_groups()
            continue
        group.state = state
        for key, step_groups in steps.items():
            unplaced = {
                each
                for each in step_groups
                if each.state in (GroupState.WAITING, GroupState.READY)
            }
            assert set(entry.unplaced.get(key, ())) == unplaced
            assert entry.is_step_done(*key) == all(
                each.state is GroupState.ENDED for each in step_groups
            )
        assert entry.is_done == all(
            each.state is GroupState.ENDED for each in all_groups
        )
        assert set(entry.claimed) == {
            each for each in all_groups if each.state is GroupState.CLAIMED
        }


@pytest.mark.parametrize("state", [GroupState.WAITING, GroupState.READY])
def test_group_that_is_set_to_its_state_again_stays_listed(state):
    entry = make_entry(Step(1, NEEDS[0]))
    group = entry.groups[0, 0][0]
    group.state = state
    group.state = state
    assert list(entry.unplaced[0, 0]) == [group]
