import random

import pytest
from starlette.testclient import TestClient

from pomeloarch_node.platform import Host, HostKind
from pomeloarch_standins.platform_server import PlatformServer


@pytest.fixture
def client():
    host = Host("n1", HostKind.NODE, "patan", "127.0.0.1:1")
    server = PlatformServer([host], 5, 100, 0.0, random.Random(1))
    return TestClient(server.app())


def _txn(version, value):
    return {
        "checks": [{"table": "t", "key": "k", "version": version}],
        "writes": [{"table": "t", "key": "k", "value": value}],
    }


def test_a_failed_check_writes_nothing_and_returns_the_row(client):
    assert client.post("/tables/txn", json=_txn(0, "a")).status_code == 200
    answer = client.post("/tables/txn", json=_txn(0, "b"))
    assert answer.status_code == 409
    assert answer.json()["conflicts"][0]["value"] == "a"


def test_writes_above_the_budget_are_refused(client):
    writes = [{"table": "t", "key": str(n), "value": n} for n in range(6)]
    answer = client.post("/tables/txn", json={"checks": [], "writes": writes})
    assert answer.status_code == 429
    assert client.get("/counts").json()["writes"] == 0


def test_a_platform_that_is_down_refuses(client):
    client.post("/faults", json={"down": True})
    assert client.get("/membership").status_code == 503
    client.post("/faults", json={})
    assert client.get("/membership").json()["hosts"][0]["id"] == "n1"


def test_a_scan_continues_after_a_key(client):
    writes = [{"table": "t", "key": key, "value": 1} for key in "abc"]
    client.post("/tables/txn", json={"checks": [], "writes": writes})
    body = {"table": "t", "after": "a", "limit": 1}
    rows = client.post("/tables/scan", json=body).json()["rows"]
    assert [row["key"] for row in rows] == ["b"]
