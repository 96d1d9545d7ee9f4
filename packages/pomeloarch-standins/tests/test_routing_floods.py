"""Floods, heavy callers, faults and partitions in virtual time, with seeds."""

import itertools

import pytest

from pomeloarch_core.objects.model import JobClass, Urgency
from pomeloarch_core.routing import RunStatus, class_weights
from pomeloarch_standins.executor_bench import RoutingBench, flow
from pomeloarch_standins.executor_faults import Fault
from pomeloarch_standins.measure_requests_times import (
    completion_times,
    percentile,
)

_CLASSES = (
    JobClass("urgent", Urgency.URGENT, floor_share=0.3),
    JobClass("standard", Urgency.STANDARD, floor_share=0.3),
    JobClass("batch", Urgency.BATCH, floor_share=0.1),
)
_SLOTS = 24 * 8
_WORK_S = 0.3
_CAPACITY = _SLOTS / _WORK_S
_END_S = 5.0


def _bench(seed, load=0.5, idempotent=True, product=True):
    bench = RoutingBench(seed, product=product, weights=class_weights(_CLASSES))
    for job_class in _CLASSES:
        bench.offer(
            flow(job_class.name, "firm"),
            load * _CAPACITY / len(_CLASSES),
            _WORK_S,
            end=_END_S,
            idempotent=idempotent,
        )
    return bench


def _answered(bench, wanted=lambda _: True):
    return len(completion_times(bench.completions, wanted))


def _check_outcomes(bench):
    """Checks that no request ends twice, ran despite `not_run` or ran twice."""
    runs = bench.runs()
    numbers = [each.work.number for each in bench.completions]
    assert len(numbers) == len(set(numbers))
    for each in bench.completions:
        count = runs.get(each.work.number, 0)
        if each.ran is RunStatus.NOT_RUN:
            assert count == 0
        if not each.work.idempotent:
            assert count <= 1


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("flooding", ["urgent", "standard", "batch"])
def test_a_flood_does_not_reduce_the_goodput_of_other_classes(flooding, seed):
    calm, flooded = _bench(seed), _bench(seed)
    flooded.offer(
        flow(flooding, "firm", "flood"),
        10.0 * _CAPACITY,
        _WORK_S,
        start=1.0,
        end=3.0,
    )
    for bench in (calm, flooded):
        bench.run(_END_S + 10.0)

    def _other(each):
        return each.job_class != flooding

    kept = _answered(flooded, _other) / _answered(calm, _other)
    assert kept >= 0.99
    _check_outcomes(flooded)


@pytest.mark.parametrize("organisation", ["firm", "crowd"])
def test_small_callers_keep_their_completion_times_beside_a_heavy_one(
    organisation,
):
    """Covers a heavy caller under one name and under many names."""
    benches = []
    for heavy in (False, True):
        bench = RoutingBench(1, weights=class_weights(_CLASSES))
        for index in range(10):
            bench.offer(
                flow("urgent", "firm", f"small-{index}"),
                0.02 * _CAPACITY,
                _WORK_S,
                end=_END_S,
            )
        for index in range(1 if organisation == "firm" else 50):
            if heavy:
                rate = 2.0 if organisation == "firm" else 0.04
                bench.offer(
                    flow("urgent", organisation, f"heavy-{index}"),
                    rate * _CAPACITY,
                    _WORK_S,
                    end=_END_S,
                )
        bench.run(_END_S + 10.0)
        benches.append(
            completion_times(
                bench.completions, lambda each: each.caller.startswith("small")
            )
        )
    calm, flooded = benches
    assert len(flooded) == len(calm)
    assert percentile(flooded, 0.99) <= 1.2 * percentile(calm, 0.99)


@pytest.mark.parametrize(
    ("fault", "min_share"),
    [
        (Fault.DEAD, 0.99),
        (Fault.FAST_FAIL, 0.99),
        (Fault.RESET, 0.99),
        (Fault.SLOW, 0.99),
        (Fault.STALL, 0.99),
        (Fault.LYING, 0.99),
        (Fault.DRAIN, 0.99),
    ],
)
def test_idempotent_requests_succeed_despite_faulty_executors(fault, min_share):
    bench = _bench(1)
    for executor in itertools.islice(bench.executors.values(), 0, None, 8):
        executor.fault = fault
    bench.run(_END_S + 12.0)
    assert _answered(bench) >= min_share * len(bench.completions)
    _check_outcomes(bench)


@pytest.mark.parametrize("seed", [1, 2, 3, 4])
def test_outcomes_are_correct_under_all_faults_together(seed):
    bench = _bench(seed, load=0.8, idempotent=False)
    bench.offer(flow("batch", "crowd"), 3 * _CAPACITY, _WORK_S, 1.0, 2.0)
    executors = list(bench.executors.values())
    faults = [
        fault
        for fault in Fault
        if fault not in (Fault.NONE, Fault.LATE, Fault.SILENT, Fault.TRUNCATE)
    ]
    zone = executors[0].upstream.availability_zone

    def _change_faults():
        for executor in executors:
            executor.fault = bench.rng.choice([Fault.NONE, *faults])

    def _end_faults():
        for executor in executors:
            executor.fault = Fault.NONE

    bench.timeline.at(1.0, _change_faults)
    bench.timeline.at(1.5, bench.links.cut.add, zone)
    bench.timeline.at(2.0, _change_faults)
    bench.timeline.at(2.5, bench.links.cut.discard, zone)
    bench.timeline.at(3.0, _end_faults)
    bench.run(_END_S + 30.0)
    _check_outcomes(bench)
    assert len(bench.completions) == bench.offered


def test_a_fast_failing_executor_does_not_attract_work():
    bench = _bench(1, idempotent=False)
    bad = next(iter(bench.executors.values()))
    bad.fault = Fault.FAST_FAIL
    bench.run(_END_S + 10.0)
    mean = sum(bench.runs().values()) / len(bench.executors)
    assert sum(bad.runs.values()) < 0.25 * mean


def test_a_partitioned_zone_serves_with_its_own_executors_and_recovers():
    bench = _bench(1)
    zone = bench.nodes[0].zone
    bench.timeline.at(1.0, bench.links.cut.add, zone)
    bench.timeline.at(3.0, bench.links.cut.discard, zone)
    bench.run(_END_S + 12.0)
    late = [each for each in bench.completions if each.work.arrives > 1.5]
    assert sum(each.answered for each in late) >= 0.99 * len(late)
    _check_outcomes(bench)


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_leaving_executors_get_no_new_requests_after_two_seconds(seed):
    bench = _bench(seed, idempotent=False)
    leaving = [
        executor
        for index, executor in enumerate(bench.executors.values())
        if index % 3 == 0
    ]

    def _start_leaving():
        for executor in leaving:
            executor.fault = Fault.DRAIN

    bench.timeline.at(2.0, _start_leaving)
    bench.run(_END_S + 12.0)
    for executor in leaving:
        first = min((t for t in executor.arrival_times if t > 2.0), default=2.0)
        assert all(time <= first + 2.0 for time in executor.arrival_times)
    assert _answered(bench) >= 0.99 * len(bench.completions)
    _check_outcomes(bench)


@pytest.mark.parametrize("load", [0.7, 0.9])
def test_nodes_overload_executors_less_often_than_round_robin(load):
    overloads = []
    for product in (True, False):
        bench = _bench(1, load, product=product)
        bench.run(_END_S + 10.0)
        overloads.append(
            sum(each.overloads for each in bench.executors.values())
        )
    assert overloads[0] <= max(overloads[1], 0.03 * bench.offered)


def test_a_flooded_zone_spills_over_and_returns_to_its_own_executors():
    bench = RoutingBench(1, weights=class_weights(_CLASSES))
    bench.offer(
        flow("urgent", "firm"),
        0.6 * _CAPACITY,
        _WORK_S,
        end=4.0,
        nodes=(0, 1),
    )
    bench.offer(
        flow("standard", "firm"),
        0.1 * _CAPACITY,
        _WORK_S,
        start=6.0,
        end=8.0,
        nodes=(0, 1),
    )
    bench.run(12.0)
    zone = bench.nodes[0].zone
    remote = [
        time
        for executor in bench.executors.values()
        if executor.upstream.availability_zone != zone
        for time in executor.arrival_times
    ]
    assert sum(time < 4.0 for time in remote) > 0.2 * bench.offered
    assert not [time for time in remote if time > 6.0]
    assert _answered(bench) == bench.offered
