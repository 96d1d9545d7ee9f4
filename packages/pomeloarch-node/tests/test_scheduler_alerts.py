import asyncio
import random

import pytest

from pomeloarch_core.gang.messages import (
    AlertKind,
    ClearAlert,
    Explanation,
    RaiseAlert,
)
from pomeloarch_core.ids import Epoch
from pomeloarch_core.objects.model import Urgency
from pomeloarch_node.job_admission import SubmissionLimiter
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.platform import Host, HostKind, HostState
from pomeloarch_node.scheduler_alerts import (
    MAX_REASON_LENGTH,
    MAX_REASONS,
    MAX_SUBJECTS,
    Alerts,
    Explanations,
)
from pomeloarch_node.scheduler_audit import MAX_WAITING, SchedulerAudit
from pomeloarch_node.scheduler_tenure import Tenure
from pomeloarch_node.worker_list import zone_workers
from pomeloarch_standins.fake_platform import FakePlatform, Fault
from pomeloarch_standins.job_fakes import FakeRole
from pomeloarch_standins.virtual_time import run_virtual

SHORT = AlertKind.GUARANTEE_SHORT


def test_reasons_are_limited_and_the_newest_are_kept():
    explanations = Explanations()
    for number in range(MAX_SUBJECTS + 10):
        explanations.add(Explanation(f"job-{number}", "x" * 10_000))
    for number in range(MAX_REASONS + 5):
        explanations.add(Explanation("job-20", f"reason {number}"))
        explanations.add(Explanation("job-20", f"reason {number}"))
    kept = explanations.reasons_for("job-20")
    assert kept == [f"reason {number}" for number in range(5, 15)]
    assert explanations.reasons_for("job-0") == []
    assert len(explanations.reasons_for("job-30")[0]) == MAX_REASON_LENGTH


def test_changes_of_alerts_are_reported_except_at_the_end_of_a_tenure():
    metrics, reported = Metrics(), []
    alerts = Alerts(
        metrics, lambda subject, why: reported.append((subject, why))
    )
    for _ in range(3):
        alerts.raise_alert(RaiseAlert(SHORT, "g", "a rack is gone"))
    alerts.clear(ClearAlert(SHORT, "g"))
    alerts.clear(ClearAlert(SHORT, "g"))
    alerts.raise_alert(RaiseAlert(SHORT, "h", "a rack is gone"))
    alerts.clear_all()
    assert reported == [
        ("guarantee_short/g", "a rack is gone"),
        ("guarantee_short/g", "cleared"),
        ("guarantee_short/h", "a rack is gone"),
    ]
    assert alerts.views() == []
    assert 'kind="guarantee_short",subject="h"} 0' in metrics.render()


@pytest.mark.parametrize("fault", list(Fault))
def test_a_flood_of_audit_entries_is_written_once_at_a_limited_rate(fault):
    async def main():
        platform = FakePlatform()
        role = FakeRole()
        role.set(1)
        metrics = Metrics()
        audit = SchedulerAudit(
            platform,
            Tenure(role, Epoch(1)),
            "n1",
            metrics,
            random.Random(1),
            lambda: 1_700_000_000.0,
        )
        for number in range(MAX_WAITING + 50):
            audit.add(f"subject-{number}", "why")
        platform.inject(fault)
        running = asyncio.create_task(audit.run())
        await asyncio.sleep(60.0)
        role.lapse()
        await running
        return platform, metrics

    platform, metrics = run_virtual(main())
    subjects = [entry["subject"] for entry in platform.table("audit").values()]
    assert len(subjects) == len(set(subjects)) == MAX_WAITING
    assert platform.peak_writes_per_s <= 10
    assert "scheduler_audit_dropped 50" in metrics.render()


def test_submissions_are_shared_by_urgency_and_caller():
    limit = SubmissionLimiter(0.0)

    def count(urgency, caller, tries, now):
        return sum(limit.admit(urgency, caller, 6, now) for _ in range(tries))

    assert count(Urgency.BATCH, "large", 100, 0.0) < 10
    assert count(Urgency.BATCH, "small", 1, 0.0) == 1
    assert count(Urgency.STANDARD, "other", 1, 0.0) == 1
    assert count(Urgency.URGENT, "other", 2, 0.0) == 2
    # Six nodes share 120 rows per second, and each job takes two rows.
    begun = count(Urgency.URGENT, "large", 100, 10.0)
    later = sum(
        count(Urgency.URGENT, f"c{second}", 100, 10.0 + second)
        for second in range(1, 11)
    )
    assert begun <= 20
    assert 90 <= later <= 100


def host(**changes):
    attributes = {"pool": "p", "rack": "r", "accelerators": 8, "memory_gb": 9}
    entry = {
        "id": "w",
        "kind": HostKind.WORKER,
        "availability_zone": "patan",
        "address": "127.0.0.1:1/w",
        "attributes": attributes,
    }
    return Host(**{**entry, **changes})


@pytest.mark.parametrize(
    ("entry", "found"),
    [
        (host(), True),
        (host(state=HostState.LEAVING), True),
        (host(availability_zone="boudha"), False),
        (host(kind=HostKind.EXECUTOR), False),
        (host(attributes={}), False),
        (host(attributes={"pool": 1, "rack": "r"}), False),
    ],
)
def test_only_complete_entries_of_the_zone_are_workers(entry, found):
    assert (list(zone_workers([entry], "patan")) == ["w"]) == found
