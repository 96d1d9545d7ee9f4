import asyncio
import random

import msgspec
import pytest
from starlette.applications import Starlette

from pomeloarch_core.gang.messages import JobRecord, JobSpec
from pomeloarch_core.objects.model import (
    Adjacency,
    AvailabilityZone,
    GuaranteedShape,
    JobClass,
    ObjectSet,
    Organisation,
    Snapshot,
    Team,
    Urgency,
    WorkerPool,
)
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.job_records import encode
from pomeloarch_node.jobs_api import JobsApi
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.scheduler_digest import ZoneDigest, encode_digest
from pomeloarch_standins.fake_platform import FakePlatform, Fault
from pomeloarch_standins.job_fakes import FakeNetwork, FakePeers, asgi_call
from pomeloarch_standins.virtual_time import run_virtual

ZONES = ("boudha", "patan")
OBJECTS = ObjectSet(
    availability_zone=tuple(AvailabilityZone(z, "valley") for z in ZONES),
    worker_pool=tuple(
        WorkerPool(f"{z}-p", z, 1, 8, 8, 128, 512) for z in ZONES
    ),
    organisation=(
        Organisation("desk", quota_accelerators=32, teams=(Team("a", 4),)),
        Organisation("archive"),
    ),
    guaranteed_shape=(GuaranteedShape("g", "archive", "boudha-p", 2, 8),),
    job_class=(
        JobClass("scan", Urgency.URGENT),
        JobClass("match", Urgency.BATCH, max_gang=16, adjacency=Adjacency.RACK),
    ),
)
JOB = {"organisation": "desk", "job_class": "scan"}


class NoScheduler:
    def explain(self, job_id):
        return None


class FixedScheduler:
    def explain(self, job_id):
        return [f"{job_id} waits"]


class Node:
    """The job API of one node, on a platform that nodes may share."""

    def __init__(self, platform, network=None, name="n1", explainer=None):
        self.peers = FakePeers(network or FakeNetwork(), name, "patan")
        configuration = ConfigurationHolder()
        configuration.offer(Snapshot(1, "p1", OBJECTS))
        self.api = JobsApi(
            zone="patan",
            platform=platform,
            configuration=configuration,
            peers=self.peers,
            explainer=explainer or NoScheduler(),
            metrics=Metrics(),
            rng=random.Random(name),
            wall_clock=lambda: 1_700_000_000.0,
        )
        self.app = Starlette(routes=self.api.routes())

    async def post(self, job, key=None, **headers):
        if key is not None:
            headers["Idempotency-Key"] = key
        body = job if isinstance(job, bytes) else msgspec.json.encode(job)
        return await asgi_call(self.app, "POST", "/v1/jobs", body, headers)

    async def get(self, path):
        return await asgi_call(self.app, "GET", f"/v1/jobs/{path}")

    async def delete(self, job_id):
        return await asgi_call(self.app, "DELETE", f"/v1/jobs/{job_id}")


def all_jobs(platform):
    return [job for z in ZONES for job in platform.table(f"jobs/{z}")]


def test_an_accepted_job_is_written_and_seen_by_every_node():
    async def main():
        platform = FakePlatform()
        answer = await Node(platform).post(JOB)
        job_id = answer.json()["job_id"]
        seen = await Node(platform, name="n2").get(job_id)
        return answer, seen, all_jobs(platform)

    answer, seen, rows = run_virtual(main())
    assert answer.status == 202
    assert rows == [answer.json()["job_id"]]
    assert seen.json() == answer.json()
    assert seen.json()["state"] == "queued"


@pytest.mark.parametrize(
    ("job", "status", "wrong"),
    [
        (b"{", 400, ["body"]),
        (b"\xff\xfe", 400, ["body"]),
        (b"[" * 60_000, 400, ["body"]),
        (b"[]", 400, ["JSON object"]),
        (b"", 400, ["body"]),
        (b'{"command": "' + b"x" * 70_000 + b'"}', 413, ["bytes"]),
        ({**JOB, "members": "two"}, 400, ["members"]),
        ({**JOB, "members": 0, "nmae": 1}, 400, ["members", "nmae"]),
        ({"members": True}, 400, ["organisation", "job_class", "members"]),
        ({**JOB, "memory_gb": -1}, 400, ["memory_gb"]),
        ({**JOB, "command": "x" * 9000}, 400, ["command"]),
        ({**JOB, "members": 10**30}, 400, ["members"]),
        ({"organisation": "x", "job_class": "y"}, 422, ["'x'", "'y'"]),
        ({**JOB, "members": 2}, 422, ["members"]),
        ({**JOB, "team": "b"}, 422, ["team"]),
        ({**JOB, "team": "a", "accelerators": 5}, 422, ["team"]),
        ({**JOB, "accelerators": 33}, 422, ["quota"]),
        ({**JOB, "accelerators": 9}, 422, ["accelerators"]),
        ({**JOB, "memory_gb": 513}, 422, ["513 GB"]),
        ({**JOB, "availability_zone": "zarqa"}, 422, ["zarqa"]),
    ],
)
def test_a_bad_request_is_refused_with_all_findings(job, status, wrong):
    async def main():
        platform = FakePlatform()
        return await Node(platform).post(job), platform.written

    answer, written = run_virtual(main())
    assert answer.status == status
    assert answer.json()["outcome"] == "not_run"
    assert all(word in answer.json()["detail"] for word in wrong)
    assert written == 0


def test_headers_provide_fields_that_the_body_lacks():
    async def main():
        headers = {
            "Pomelo-Organisation": "desk",
            "Pomelo-Caller": "widow",
            "Pomelo-Non-Idempotent": "1",
        }
        return await Node(FakePlatform()).post({"job_class": "scan"}, **headers)

    job = run_virtual(main()).json()
    assert (job["organisation"], job["caller"]) == ("desk", "widow")
    assert not job["idempotent"]


@pytest.mark.parametrize(
    ("faults", "status", "outcome", "jobs"),
    [
        ([Fault.LOSE_ANSWER], 202, None, 1),
        ([Fault.LOSE_REQUEST], 202, None, 1),
        ([Fault.LATE], 202, None, 1),
        ([Fault.LOSE_ANSWER, Fault.REFUSE, Fault.LOSE_REQUEST], 202, None, 1),
        ([Fault.REFUSE] * 4, 503, "not_run", 0),
        ([Fault.LOSE_REQUEST] + [Fault.REFUSE] * 3, 503, "unknown", 0),
        ([Fault.LATE] + [Fault.REFUSE] * 3, 503, "unknown", 1),
        ([Fault.LOSE_ANSWER] * 4, 503, "unknown", 1),
    ],
)
@pytest.mark.parametrize("key", [None, "k"])
def test_a_caller_learns_the_true_outcome_of_a_submission(
    faults, status, outcome, jobs, key
):
    async def main():
        platform = FakePlatform()
        platform.inject(*faults)
        answer = await Node(platform).post(JOB, key)
        await asyncio.sleep(60.0)
        return answer, all_jobs(platform)

    answer, rows = run_virtual(main())
    assert (answer.status, len(rows)) == (status, jobs)
    if outcome is not None:
        assert answer.json()["outcome"] == outcome
        assert answer.headers["retry-after"] == "1"


@pytest.mark.parametrize(
    "faults",
    [[], [Fault.LOSE_ANSWER] * 4, [Fault.LATE] + [Fault.REFUSE] * 3],
)
def test_the_same_key_at_another_node_gives_the_same_job(faults):
    async def main():
        platform = FakePlatform()
        network = FakeNetwork()
        platform.inject(*faults)
        first = await Node(platform, network).post(JOB, "k")
        if first.status == 503:
            await asyncio.sleep(60.0)
        second = await Node(platform, network, "n2").post(JOB, "k")
        return first, second, all_jobs(platform)

    first, second, rows = run_virtual(main())
    assert second.status == 200
    assert rows == [second.json()["job_id"]]
    if first.status == 202:
        assert first.json() == second.json()


def test_many_nodes_racing_with_one_key_make_one_job():
    async def main():
        platform = FakePlatform()
        platform.delay_s = 0.005
        platform.inject(Fault.LOSE_ANSWER, Fault.LATE)
        network = FakeNetwork()
        nodes = [Node(platform, network, f"n{i}") for i in range(6)]
        answers = await asyncio.gather(*(node.post(JOB, "k") for node in nodes))
        return answers, all_jobs(platform)

    answers, rows = run_virtual(main())
    assert {answer.json()["job_id"] for answer in answers} == set(rows)
    assert len(rows) == 1


def test_a_key_with_another_request_is_refused():
    async def main():
        node = Node(FakePlatform())
        await node.post(JOB, "k")
        other = await node.post({**JOB, "memory_gb": 2.0}, "k")
        foreign = await node.post({**JOB, "organisation": "archive"}, "k")
        return other, foreign

    other, foreign = run_virtual(main())
    assert (other.status, other.json()["outcome"]) == (422, "not_run")
    assert other.json()["reason"] == "idempotency_key_reused"
    assert foreign.status == 202


@pytest.mark.parametrize(
    ("job", "loads", "zone"),
    [
        (JOB, {}, "patan"),
        (JOB, {"patan": 5, "boudha": 1}, "boudha"),
        (JOB, {"patan": 1, "boudha": 5}, "patan"),
        ({**JOB, "availability_zone": "boudha"}, {"boudha": 9}, "boudha"),
        ({**JOB, "organisation": "archive"}, {"boudha": 9}, "boudha"),
        (
            {
                "organisation": "archive",
                "job_class": "match",
                "members": 3,
                "accelerators": 8,
            },
            {"patan": 1, "boudha": 5},
            "patan",
        ),
    ],
)
def test_a_job_goes_to_a_guarantee_or_the_least_loaded_zone(job, loads, zone):
    async def main():
        network = FakeNetwork()
        for name, wanted in loads.items():
            digest = ZoneDigest(name, 1, 64, wanted)
            peer = FakePeers(network, f"holder-{name}", name)
            peer.set_digest("scheduler", encode_digest(digest))
        return await Node(FakePlatform(), network).post(job)

    assert run_virtual(main()).json()["availability_zone"] == zone


def test_an_unknown_job_is_not_found():
    async def main():
        node = Node(FakePlatform())
        running = asyncio.create_task(node.api.run())
        await asyncio.sleep(0)
        ids = ("patan-0", "x", "-")
        answers = [await node.get(i) for i in ids]
        answers += [await node.delete(i) for i in ids]
        answers += [await node.get(f"{i}/explain") for i in ids]
        running.cancel()
        return answers

    assert {answer.status for answer in run_virtual(main())} == {404}


def test_a_wave_of_cancellations_costs_few_writes():
    async def main():
        platform = FakePlatform()
        node = Node(platform)
        running = asyncio.create_task(node.api.run())
        ids = [f"patan-{number:032x}" for number in range(1000)]
        for job_id in ids:
            record = JobRecord(JobSpec(job_id, "desk", "scan", 1, 1))
            platform.put("jobs/patan", job_id, encode(record))
        before = platform.written, platform.reads
        answers = await asyncio.gather(*(node.delete(i) for i in ids))
        running.cancel()
        kept = platform.table("job_cancels/patan").values()
        asked = {job for batch in kept for job in batch["job_ids"]}
        return answers, platform, before, asked == set(ids)

    answers, platform, before, all_kept = run_virtual(main())
    assert {answer.status for answer in answers} == {202}
    assert answers[0].json()["cancel_requested"]
    assert all_kept
    assert platform.written - before[0] <= 4
    assert platform.reads - before[1] <= 4


@pytest.mark.parametrize(
    ("faults", "status", "outcome"),
    [
        ([Fault.LOSE_ANSWER], 202, None),
        ([Fault.REFUSE] * 3, 503, "not_run"),
        ([Fault.LOSE_REQUEST, Fault.REFUSE, Fault.REFUSE], 503, "unknown"),
    ],
)
def test_a_caller_learns_the_true_outcome_of_a_cancellation(
    faults, status, outcome
):
    async def main():
        platform = FakePlatform()
        node = Node(platform)
        running = asyncio.create_task(node.api.run())
        job_id = (await node.post(JOB)).json()["job_id"]
        platform.inject(*faults)
        answer = await node.delete(job_id)
        running.cancel()
        return answer, platform.table("job_cancels/patan")

    answer, kept = run_virtual(main())
    assert answer.status == status
    assert len(kept) == (1 if status == 202 else 0)
    assert answer.json().get("outcome") == outcome


def test_any_node_returns_the_explanation_of_the_zones_scheduler():
    async def main():
        platform = FakePlatform()
        network = FakeNetwork()
        asked = Node(platform, network)
        holder = Node(platform, network, "n2", FixedScheduler())
        tasks = [asyncio.create_task(n.api.run()) for n in (asked, holder)]
        job_id = (await asked.post(JOB)).json()["job_id"]
        unheld = await asked.get(f"{job_id}/explain")
        digest = ZoneDigest("patan", 1, 64, 0)
        holder.peers.set_digest("scheduler", encode_digest(digest))
        remote = await asked.get(f"{job_id}/explain")
        holder.peers.cut_off = True
        alone = await asked.get(f"{job_id}/explain")
        for task in tasks:
            task.cancel()
        return job_id, unheld, remote, alone

    job_id, unheld, remote, alone = run_virtual(main())
    assert remote.json()["reasons"] == [f"{job_id} waits"]
    assert unheld.json()["reasons"] == alone.json()["reasons"] == ["accepted"]


def test_a_node_that_cannot_reach_the_platform_reports_it():
    async def main():
        platform = FakePlatform()
        node = Node(platform)
        running = asyncio.create_task(node.api.run())
        job_id = (await node.post(JOB)).json()["job_id"]
        platform.down = True
        answers = [
            await node.post(JOB),
            await node.get(job_id),
            await node.delete(job_id),
            await node.get(f"{job_id}/explain"),
        ]
        running.cancel()
        return [(a.status, a.json()["outcome"]) for a in answers]

    assert run_virtual(main()) == [
        (503, "not_run"),
        (503, "unknown"),
        (503, "not_run"),
        (503, "unknown"),
    ]
