import asyncio
import json
import pathlib

import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.main import build_parser, main
from pomeloarch_cli.session import NODES_VARIABLE

QASR = pathlib.Path(__file__).parents[3] / "examples" / "qasr"
CLOSED_URL = "http://127.0.0.1:9"
JOB = {"job_id": "patan-1", "reason": ""}
NOT_RUN = {"title": "Down.", "reason": "down", "outcome": "not_run"}
UNKNOWN = {"title": "Lost.", "reason": "lost", "outcome": "unknown"}
SUBMIT = ["submit", "--organisation", "o", "--job-class", "c"]
PUBLISH = ["publish", str(QASR), "--why", "x", "--wait-s", "0"]


class CannedNode:
    """A node that sends prepared answers in order, then repeats the last one.

    An answer is a status with a body; None closes the connection instead.
    """

    def __init__(self, *answers):
        self.answers = list(answers)
        self.requests = []

    async def answer(self, request):
        body = await request.text()
        self.requests.append((request.method, request.path, body))
        self.headers = request.headers
        first, rest = self.answers[0], self.answers[1:]
        self.answers = rest or [first]
        if first is None:
            request.transport.close()
            return web.Response()
        return web.json_response(first[1], status=first[0])


@pytest.fixture
def run(capsys):
    """Returns a function that runs a command line against canned nodes.

    A node is a `CannedNode` or a URL.
    """

    async def run_line(line, nodes):
        servers = []
        for node in nodes:
            if isinstance(node, str):
                servers.append(node)
                continue
            app = web.Application()
            app.router.add_route("*", "/{path:.*}", node.answer)
            server = TestServer(app)
            await server.start_server()
            servers.append(server)
        urls = [
            server if isinstance(server, str) else str(server.make_url("/"))
            for server in servers
        ]
        args = [arg for url in urls for arg in ("--node", url)]
        parsed = build_parser().parse_args([*line, *args])
        code = await parsed.run(parsed)
        for server in servers:
            if not isinstance(server, str):
                await server.close()
        return code, capsys.readouterr()

    return lambda line, *nodes: asyncio.run(run_line(line, nodes))


OK_JOB = (202, JOB | {"state": "queued"})


@pytest.mark.parametrize(
    ("line", "nodes", "code"),
    [
        (SUBMIT, [CLOSED_URL], ExitCode.NO_NODE),
        (SUBMIT, [CLOSED_URL, OK_JOB], ExitCode.OK),
        (SUBMIT, [(503, NOT_RUN)], ExitCode.REFUSED),
        (SUBMIT, [(503, NOT_RUN), OK_JOB], ExitCode.OK),
        (SUBMIT, [(504, UNKNOWN)], ExitCode.UNKNOWN),
        (SUBMIT, [(504, UNKNOWN), OK_JOB], ExitCode.OK),
        (SUBMIT, [(504, UNKNOWN), (503, NOT_RUN)], ExitCode.UNKNOWN),
        (SUBMIT, [None], ExitCode.UNKNOWN),
        (SUBMIT, [None, CLOSED_URL], ExitCode.UNKNOWN),
        (SUBMIT, [None, OK_JOB], ExitCode.OK),
        (SUBMIT, [None, (422, NOT_RUN)], ExitCode.UNKNOWN),
        (SUBMIT, [(422, NOT_RUN), OK_JOB], ExitCode.REFUSED),
        (PUBLISH, [None], ExitCode.UNKNOWN),
        (PUBLISH, [(504, UNKNOWN)], ExitCode.UNKNOWN),
        (PUBLISH, [(409, NOT_RUN)], ExitCode.REFUSED),
        (["history"], [None], ExitCode.NO_NODE),
        (["history"], [None, (200, {"generations": []})], ExitCode.OK),
        (["history"], [(200, [1, 2])], ExitCode.NO_NODE),
        (["status"], [(200, {"node": "a"})], ExitCode.OK),
        (["status"], [(502, "not JSON")], ExitCode.REFUSED),
        (["job", "patan-1"], [(404, NOT_RUN)], ExitCode.REFUSED),
        (["job", "patan-1", "--cancel"], [None], ExitCode.UNKNOWN),
        (["explain", "patan-1"], [(200, {"reasons": ["x"]})], ExitCode.OK),
    ],
)
def test_exit_code_follows_the_answers_of_the_nodes(run, line, nodes, code):
    found = [n if isinstance(n, str) else CannedNode(n) for n in nodes]
    assert run(line, *found)[0] == code


@pytest.mark.parametrize(
    ("states", "code"),
    [
        (["queued", "running", "succeeded"], ExitCode.OK),
        (["running", "failed"], ExitCode.REFUSED),
        (["refused"], ExitCode.REFUSED),
        (["cancelled"], ExitCode.REFUSED),
        (["running", "unknown"], ExitCode.UNKNOWN),
    ],
)
def test_wait_ends_when_the_job_has_ended(run, states, code, monkeypatch):
    monkeypatch.setattr("pomeloarch_cli.job_commands._POLL_INTERVAL_S", 0.0)
    answers = [(200, JOB | {"state": state}) for state in states]
    node = CannedNode(OK_JOB, *answers)
    found, printed = run([*SUBMIT, "--wait"], node)
    assert found == code
    assert printed.out == f"patan-1: {states[-1]}\n"
    for state in states[:-1]:
        assert f"patan-1: {state}\n" in printed.err


def test_a_second_node_is_asked_with_the_same_key_and_body(run):
    first, second = CannedNode(None), CannedNode(OK_JOB)
    run([*SUBMIT, "--non-idempotent", "--caller", "c"], first, second)
    assert first.requests == second.requests
    for name in ("Idempotency-Key", "Pomelo-Organisation", "Pomelo-Caller"):
        assert first.headers[name] == second.headers[name]
    assert json.loads(first.requests[0][2])["idempotent"] is False


def test_an_unknown_outcome_is_printed_with_the_id_to_repeat(run):
    node = CannedNode(None)
    _, printed = run(PUBLISH, node)
    sent = json.loads(node.requests[0][2])["publication"]
    assert f"try again with --publication-id {sent}" in printed.err
    assert "not known whether" in printed.err
    _, again = run([*PUBLISH, "--publication-id", sent], node)
    assert json.loads(node.requests[1][2])["publication"] == sent
    assert sent in again.err


def test_node_urls_are_read_from_the_environment(monkeypatch, capsys):
    monkeypatch.setenv(NODES_VARIABLE, f"{CLOSED_URL}, http://127.0.0.1:10")
    assert main(["history"]) == ExitCode.NO_NODE
    printed = capsys.readouterr().err
    assert "127.0.0.1:9" in printed
    assert "127.0.0.1:10" in printed


@pytest.mark.parametrize(
    "line",
    [
        [],
        ["no-such-command"],
        ["check"],
        ["publish", "x"],
        ["publish", "--why", "x", "--edit", "--remove", "organisation"],
        ["history", "--format", "xml"],
        ["rollback", "one", "--why", "x"],
        ["history", "--node", "ftp://127.0.0.1"],
        ["history", "--node", "127.0.0.1:9"],
        ["history", "--limit", "-1"],
        ["history", "--timeout-s", "0"],
        [*SUBMIT, "--caller", "a\nb"],
        ["job", "../x"],
    ],
)
def test_a_wrong_command_line_is_a_usage_error(line, capsys):
    with pytest.raises(SystemExit) as exit_info:
        main(line)
    assert exit_info.value.code == ExitCode.USAGE
    assert capsys.readouterr().err


def test_a_wrong_environment_is_a_usage_error(monkeypatch, capsys):
    monkeypatch.setenv(NODES_VARIABLE, "nowhere")
    with pytest.raises(SystemExit) as exit_info:
        main(["history"])
    assert exit_info.value.code == ExitCode.USAGE
    assert "'nowhere' is not the URL of a node" in capsys.readouterr().err


@pytest.mark.parametrize(
    "command",
    ["check", "diff", "publish", "rollback", "status", "history", "audit",
     "submit", "job", "explain"],
)  # fmt: skip
def test_help_of_each_command_lists_the_exit_codes(command, capsys):
    with pytest.raises(SystemExit):
        main([command, "--help"])
    printed = capsys.readouterr().out
    assert "exit codes:" in printed
    assert "--format" in printed


def test_check_prints_findings_as_json(tmp_path, capsys):
    path = tmp_path / "f.toml"
    path.write_text("[[organisation]]\nname = 1\n")
    assert main(["check", str(path), "--format", "json"]) == ExitCode.REFUSED
    [finding] = json.loads(capsys.readouterr().out)["findings"]
    assert (finding["path"], finding["line"]) == (str(path), 2)


def test_check_reports_a_file_that_is_too_large(tmp_path, capsys):
    path = tmp_path / "f.toml"
    path.write_bytes(b"x" * 10_000_000)
    assert main(["check", str(path)]) == ExitCode.REFUSED
    assert f"{path}:1: file: the file is larger" in capsys.readouterr().out
