"""Tests of `pomelo story` on the logs of several nodes."""

import json

import pytest

from pomeloarch_cli.main import main
from pomeloarch_cli.story_command import parse_events, select_events

JOB = "5c0e7a21d94b36f8"
EVENTS = [
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
LOG_LINES = [json.dumps(event) for event in EVENTS]


@pytest.mark.parametrize(
    ("subject_id", "context", "times"),
    [
        (JOB, False, [1.0, 3.0]),
        (JOB, True, [1.0, 2.0, 3.0]),
        ("i-1", False, [3.0, 4.0]),
        (f"{JOB}.0.0.0", False, [3.0]),
        ("i-9", False, []),
    ],
)
def test_events_of_an_id_are_sorted_by_time(subject_id, context, times):
    events, _ = parse_events(LOG_LINES)
    found = select_events(events, subject_id, context)
    assert [event["time"] for event in found] == times


def test_unreadable_lines_are_counted_and_prefixes_skipped():
    events, unreadable = parse_events(
        ["Traceback:\n", "{broken", "[1]", "\n", f"1.5 host {LOG_LINES[0]}"]
    )
    assert len(events) == 1
    assert unreadable == 3


def test_command_prints_events_and_a_summary(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join([*LOG_LINES, "oops"]))
    assert main(["story", JOB, str(path)]) == 0
    out = capsys.readouterr().out
    assert "job submitted" in out.splitlines()[0]
    assert "1 lines could not be read" in out


def test_command_prints_json(tmp_path, capsys):
    path = tmp_path / "log"
    path.write_text("\n".join(LOG_LINES))
    assert main(["story", JOB, str(path), "--format", "json"]) == 0
    found = json.loads(capsys.readouterr().out)
    assert [event["event"] for event in found["events"]] == [
        "job submitted",
        "group started",
    ]


@pytest.mark.parametrize(("args", "code"), [(["i-9"], 1), (["i-1", "no"], 2)])
def test_exit_code_of_unknown_id_and_missing_file(tmp_path, args, code):
    path = tmp_path / "log"
    path.write_text("\n".join(LOG_LINES))
    paths = [str(tmp_path / event) for event in args[1:]] or [str(path)]
    assert main(["story", args[0], *paths]) == code
