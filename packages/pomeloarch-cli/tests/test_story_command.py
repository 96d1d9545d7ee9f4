"""The story of an id, from logs of several nodes."""

import json

import pytest

from pomeloarch_cli.main import main
from pomeloarch_cli.story_command import parse, select

JOB = "5c0e7a21d94b36f8"
LINES = [
    {
        "time": 3.0,
        "node": "b",
        "event": "group started",
        "task": f"{JOB}.0.0.0",
        "workers": ["i-1"],
    },
    {"time": 1.0, "node": "a", "event": "job submitted", "job": JOB},
    {"time": 2.0, "node": "b", "event": "scheduler role won", "epoch": 4},
    {"time": 4.0, "node": "b", "event": "worker silent", "worker": "i-1"},
    {"time": 5.0, "node": "b", "event": "job submitted", "job": JOB[:-1] + "9"},
]
TEXT = [json.dumps(each) for each in LINES]


@pytest.mark.parametrize(
    ("wanted", "context", "times"),
    [
        (JOB, False, [1.0, 3.0]),
        (JOB, True, [1.0, 2.0, 3.0]),
        ("i-1", False, [3.0, 4.0]),
        (f"{JOB}.0.0.0", False, [3.0]),
        ("i-9", False, []),
    ],
)
def test_events_of_an_id_are_in_order(wanted, context, times):
    events, _ = parse(TEXT)
    found = select(events, wanted, context)
    assert [each["time"] for each in found] == times


def test_bad_lines_are_counted_and_prefixes_skipped():
    events, unreadable = parse(
        ["Traceback:\n", "{broken", "[1]", "\n", f"1.5 host {TEXT[0]}"]
    )
    assert len(events) == 1
    assert unreadable == 3


def test_command_prints_the_story(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join([*TEXT, "oops"]))
    assert main(["story", JOB, str(path)]) == 0
    out = capsys.readouterr().out
    assert "job submitted" in out.splitlines()[0]
    assert "1 lines could not be read" in out


def test_command_prints_json(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join(TEXT))
    assert main(["story", JOB, str(path), "--format", "json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert [each["event"] for each in found["events"]] == [
        "job submitted",
        "group started",
    ]


@pytest.mark.parametrize(("args", "code"), [(["i-9"], 1), (["i-1", "no"], 2)])
def test_exit_codes(tmp_path, args, code):
    path = tmp_path / "log"
    path.write_text("\n".join(TEXT))
    paths = [str(tmp_path / each) for each in args[1:]] or [str(path)]
    assert main(["story", args[0], *paths]) == code
