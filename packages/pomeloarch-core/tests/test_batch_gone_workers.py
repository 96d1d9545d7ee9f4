"""Tests of what shows that a worker has left for good."""

import pytest

from pomeloarch_core.batch.fleet import GONE_AFTER_S, Fleet
from pomeloarch_core.batch.messages import WorkerInfo
from pomeloarch_core.batch.model import Resources
from pomeloarch_core.ids import ServiceName, WorkerId, ZoneName

INFO = WorkerInfo(
    WorkerId("w"), ServiceName("s"), "w:1", ZoneName("z"), Resources(1, 1, 1)
)
# The list is confirmed each 0.3 s from 100 s on; the worker is off it from
# 105 s on, and its leases have ended at 108 s.
UNLISTED_AT = 105.0
LAPSED_AT = 108.0


def confirm(fleet, start, end):
    for tenth in range(int(start * 10), int(end * 10) + 1, 3):
        fleet.confirm_list(tenth / 10)


@pytest.mark.parametrize(
    ("now", "changes", "gone"),
    [
        pytest.param(112.0, {}, True, id="gone"),
        pytest.param(108.2, {}, True, id="just-gone"),
        pytest.param(107.9, {}, False, id="may-have-a-lease"),
        pytest.param(112.0, {"silent": False}, False, id="answers"),
        pytest.param(112.0, {"unlisted_at": None}, False, id="listed"),
        pytest.param(112.0, {"unlisted_at": 109.5}, False, id="just-unlisted"),
        pytest.param(
            112.0, {"away": (104.0, 110.0)}, False, id="store-was-away"
        ),
        pytest.param(
            112.0, {"away": (106.0, 999.0)}, False, id="store-is-away"
        ),
        pytest.param(114.0, {"away": (104.0, 110.0)}, True, id="store-is-back"),
        pytest.param(
            112.0, {"away": (0.0, 999.0)}, False, id="never-confirmed"
        ),
    ],
)
def test_worker_is_gone_once_nothing_of_it_can_be_left(now, changes, gone):
    """Guards against a worker that is taken for gone while it runs on."""
    fleet = Fleet()
    worker = fleet.update_listed(INFO)
    worker.unlisted_at = UNLISTED_AT
    worker.mark_silent(LAPSED_AT)
    away = changes.pop("away", (now, now))
    for name, value in changes.items():
        setattr(worker, name, value)
    if away[0]:
        confirm(fleet, 100.0, away[0])
        if away[1] < now:
            confirm(fleet, away[1], now)
    assert fleet.is_gone(worker, now) is gone


def test_worker_that_is_listed_again_is_not_gone():
    fleet = Fleet()
    worker = fleet.update_listed(INFO)
    worker.unlisted_at = UNLISTED_AT
    worker.mark_silent(LAPSED_AT)
    confirm(fleet, 100.0, 120.0)
    assert fleet.is_gone(worker, 120.0)
    fleet.update_listed(INFO)
    assert not fleet.is_gone(worker, 120.0)


def test_confirmation_has_no_gap_where_answers_overtake_each_other():
    fleet = Fleet()
    worker = fleet.update_listed(INFO)
    worker.unlisted_at = 100.0
    worker.mark_silent(100.0)
    for at in (100.0, 101.2, 100.9, 102.4, 100.0 + GONE_AFTER_S):
        fleet.confirm_list(at)
    assert fleet.is_gone(worker, 104.0)
