import pathlib

import pytest

from pomeloarch_core.objects import Kind, SourceText, by_key, check_documents
from pomeloarch_core.objects.check_references import references

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"

ZONES = """
[[availability_zone]]
name = "z1"
region = "r"
[[availability_zone]]
name = "z2"
region = "r"
"""
POOL = """
[[worker_pool]]
name = "p"
availability_zone = "z1"
racks = 2
hosts_per_rack = 4
accelerators_per_host = 8
cores_per_host = 1
memory_gb_per_host = 1
"""
ORGANISATION = """
[[organisation]]
name = "o"
quota_accelerators = 64
"""
CLASSES = """
[[job_class]]
name = "fast"
urgency = "urgent"
floor_share = 0.5
preemptible = false
[[job_class]]
name = "slow"
urgency = "batch"
floor_share = 0.5
"""
SERVICE = """
[[service]]
name = "s"
upstreams = [
  {availability_zone = "z1", executors = 1},
  {availability_zone = "z2", executors = 1},
]
routes = [
  {path = "/", job_class = "fast"},
  {path = "/b", job_class = "slow"},
]
"""
COMPLETE_SET = ZONES + POOL + ORGANISATION + CLASSES + SERVICE


def shape_toml(name, hosts, accelerators, count=1):
    return (
        f'[[guaranteed_shape]]\nname = "{name}"\norganisation = "o"\n'
        f'worker_pool = "p"\nhosts = {hosts}\n'
        f"accelerators_per_host = {accelerators}\ncount = {count}\n"
    )


def check_text(text):
    answer = check_documents([SourceText("f.toml", text.encode())])
    return [str(finding) for finding in answer.err() or []]


def test_a_consistent_set_has_no_finding():
    text = COMPLETE_SET + shape_toml("a", 4, 8) + shape_toml("b", 2, 4, count=2)
    assert check_text(text) == []


@pytest.mark.parametrize(
    ("old", "new", "subject", "expected"),
    [
        ('zone = "z1"\nracks', 'zone = "z3"\nracks', "worker_pool/p",
         "availability_zone/z3, which does not exist; known are: z1, z2"),
        ('"slow"},', '"slwo"},', "service/s", "did you mean 'slow'?"),
        ("floor_share = 0.5\npre", "floor_share = 0.6\npre", "job_class/fast",
         "the floor shares add up to 1.1, more than the whole: "
         "fast 0.6, slow 0.5"),
        ('name = "s"\n', 'name = "s"\nfloor_share = 0.7\n', "service/s2",
         "the floor shares add up to 1.5"),
        ('  {availability_zone = "z2", executors = 1},\n', "", "service/s",
         "no upstream in availability_zone/z2"),
        ("upstreams = [", 'upstreams = [\n'
         '{availability_zone = "z1", executors = 1},', "service/s",
         "two upstreams in availability_zone/z1"),
        ('"/b"', '"/"', "service/s", "two routes for /; remove one"),
        ('path = "/"', 'path = "/x"', "service/s", 'no route for "/"'),
        ('name = "slow"\n', 'name = "slow"\npreemptible = false\n',
         "job_class/fast", "nothing to preempt"),
        ('name = "slow"\n', 'name = "slow"\nmax_gang = 33\n', "job_class/slow",
         "gangs of up to 33 members within one rack can never run: the fleet "
         "holds at most 32"),
        ('name = "slow"\n', 'name = "slow"\nmax_gang = 9\n'
         'adjacency = "host"\n', "job_class/slow", "at most 8 there"),
        ('name = "slow"\n', 'name = "slow"\nmax_gang = 65\n'
         'adjacency = "any"\n', "job_class/slow", "at most 64 there"),
        ('name = "slow"\n', 'name = "slow"\nprotection = {act_above = 1.1}\n',
         "job_class/slow", "raise act_above"),
        ("rs = 64\n", "rs = 15\n" + shape_toml("a", 2, 8), "organisation/o",
         "quota of 15 accelerators is below the 16 of its guaranteed shapes"),
        ("rs = 64\n", 'rs = 64\nteams = [{name="t", quota_accelerators=65}]\n',
         "organisation/o", "above the organisation's 64"),
        ("rs = 64\n", 'rs = 64\nteams = [{name="t", quota_accelerators=1},\n'
         '{name="t", quota_accelerators=1}]\n', "organisation/o",
         "team 't' is named twice"),
        ("rs = 64\n", "rs = 64\n" + shape_toml("a", 5, 1), "guaranteed_shape/a",
         "spans 5 hosts, but a rack of worker_pool/p has 4; lower hosts"),
        ("rs = 64\n", "rs = 64\n" + shape_toml("a", 1, 9), "guaranteed_shape/a",
         "needs 9 accelerators on a host"),
        ("rs = 64\n", "rs = 64\n" + shape_toml("a", 3, 5, count=3),
         "guaranteed_shape/a", "do not fit as adjacent accelerators: they "
         "need 45 of 64"),
        ("rs = 64\n", "rs = 64\n" + shape_toml("a", 3, 8)
         + shape_toml("b", 3, 8) + shape_toml("c", 2, 8), "guaranteed_shape/c",
         "do not fit as adjacent accelerators"),
        ("rs = 64\n", "rs = 999999\n" + shape_toml("a", 1, 1, count=999_999),
         "guaranteed_shape/a", "they need 999999 of 64"),
    ],
)  # fmt: skip
def test_errors_across_objects_are_found(old, new, subject, expected):
    second = SERVICE.replace('"s"', '"s2"\nfloor_share = 0.8')
    base = COMPLETE_SET + second if subject == "service/s2" else COMPLETE_SET
    assert base.count(old) >= 1
    [finding] = check_text(base.replace(old, new, 1))
    assert f": {subject}: " in finding
    assert expected in finding
    assert not finding.startswith("f.toml:0:")


def test_all_findings_are_reported_in_line_order():
    text = COMPLETE_SET.replace('"z1"\nracks', '"z9"\nracks')
    text = text.replace('path = "/",', 'path = "/b",')
    text = text.replace("floor_share = 0.5", "floor_share = 0.9")
    text += shape_toml("a", 9, 9) + "[[service]]\nname = 3\n"
    findings = check_text(text)
    lines = [int(finding.split(":")[1]) for finding in findings]
    assert lines == sorted(lines)
    assert len(findings) == 10


def test_an_unreadable_object_hides_no_other_finding():
    text = COMPLETE_SET.replace('region = "r"\n', "region = 1\n", 1)
    text = text.replace('job_class = "slow"', 'job_class = "slwo"')
    findings = check_text(text)
    assert [line.split(": ")[1] for line in findings] == [
        "availability_zone/z1",
        "service/s",
    ]


@pytest.mark.parametrize("name", ["shrestha", "qasr"])
def test_references_point_to_earlier_kinds(name):
    """The order of kinds rules out reference cycles."""
    texts = [
        SourceText(str(path), path.read_bytes())
        for path in (EXAMPLES / name).glob("*.toml")
    ]
    order = [kind.value for kind in Kind]
    objects = by_key(check_documents(texts).unwrap().objects)
    reference_count = 0
    for key, item in objects.items():
        for reference in references(item):
            reference_count += 1
            target = reference.target.kind
            assert order.index(target) < order.index(key.kind)
    assert reference_count > 10
