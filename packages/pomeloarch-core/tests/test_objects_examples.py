import pathlib

import pytest

from pomeloarch_core.objects import SourceText, check_documents

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize(
    ("name", "service", "memory_gb"),
    [("shrestha", "appraisal-desk", 512), ("qasr", "scorer", 256)],
)
def test_examples_have_the_current_fleet_sizes(name, service, memory_gb):
    texts = [
        SourceText(str(path), path.read_bytes())
        for path in sorted((EXAMPLES / name).glob("*.toml"))
    ]
    objects = check_documents(texts).unwrap().objects
    pools, [service_object] = objects.worker_pool, objects.service
    assert sum(pool.racks * pool.hosts_per_rack for pool in pools) == 24
    assert {pool.memory_gb_per_host for pool in pools} == {memory_gb}
    assert {pool.accelerators_per_host for pool in pools} == {8}
    assert service_object.name == service
    assert sum(group.executors for group in service_object.upstreams) == 24
    assert {group.slots for group in service_object.upstreams} == {8}
    assert len(objects.organisation) == 4
    assert len(objects.availability_zone) == 3
