import asyncio
import contextlib
import json
import pathlib
import random
import socket

import pytest
import uvicorn
from starlette.applications import Starlette
from starlette.responses import JSONResponse
from starlette.routing import Route

from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.main import build_parser
from pomeloarch_core.ids import NodeId
from pomeloarch_node.configuration import ConfigurationHolder
from pomeloarch_node.metrics import Metrics
from pomeloarch_node.operators_api import OperatorsApi
from pomeloarch_standins.memory_platform import Fault, MemoryPlatform

QASR = pathlib.Path(__file__).parents[3] / "examples" / "qasr"
CLOSED_URL = "http://127.0.0.1:9"


class Node:
    """The operators' API of a node, over a platform in memory."""

    def __init__(self, platform, name):
        self.holder = ConfigurationHolder()
        self.api = OperatorsApi(
            platform,
            self.holder,
            Metrics(),
            NodeId(name),
            random.Random(1),
            wall_clock=lambda: 0.0,
        )

    def status(self, request):
        node = {
            "node": "amman-a-1",
            "availability_zone": "amman-a",
            "generation": self.holder.generation,
        }
        return JSONResponse({"generations": [node]})

    @contextlib.asynccontextmanager
    async def serve(self):
        routes = [*self.api.routes(), Route("/v1/status", self.status)]
        app = Starlette(routes=routes)
        config = uvicorn.Config(app, log_config=None)
        server = uvicorn.Server(config)
        sock = socket.create_server(("127.0.0.1", 0))
        serving = asyncio.create_task(server.serve(sockets=[sock]))
        yield f"http://127.0.0.1:{sock.getsockname()[1]}"
        server.should_exit = True
        await serving


@pytest.fixture
def run(capsys):
    """Returns a function that runs command lines against one node.

    It returns the exit code and the output of each. The argument URL is
    replaced by the URL of the node.
    """

    async def run_lines(lines, platform):
        answers = []
        async with Node(platform, "amman-a-1").serve() as url:
            for line in lines:
                args = [url if arg == "URL" else arg for arg in line]
                parsed = build_parser().parse_args(args)
                code = await parsed.run(parsed)
                answers.append((code, capsys.readouterr()))
        return answers

    return lambda *lines, platform=None: asyncio.run(
        run_lines(lines, platform or MemoryPlatform())
    )


def publish(path, *options):
    node = ["--node", "URL"] if "--node" not in options else []
    return ["publish", str(path), "--why", "a test", *node, *options]


def copy_example(tmp_path, old, new):
    tmp_path.mkdir(exist_ok=True)
    for path in QASR.glob("*.toml"):
        text = path.read_text()
        (tmp_path / path.name).write_text(text.replace(old, new))
    return tmp_path


def test_publish_prints_the_generation_and_where_it_is_in_force(run):
    [(code, printed)] = run(publish(QASR))
    assert code == ExitCode.OK
    lines = printed.out.splitlines()
    assert lines[0] == "published generation 1"
    assert lines[-1] == "in force: amman-a 1 of 1 nodes"
    assert "  set service/scorer" in lines


def test_history_diff_audit_and_rollback_show_an_edit(run, tmp_path):
    edited = copy_example(tmp_path, "weight = 2.0", "weight = 3.0")
    answers = run(
        publish(QASR),
        publish(edited, "--base", "1", "--who", "bina"),
        ["diff", "--from", "1", "--to", "2", "--node", "URL"],
        ["diff", str(QASR), "--node", "URL"],
        ["audit", "organisation/qasr", "--node", "URL", "--format", "json"],
        ["rollback", "1", "--why", "worse", "--node", "URL"],
        ["history", "--node", "URL", "--format", "json"],
        ["explain", "organisation/qasr", "--node", "URL"],
        ["explain", "organisation/qas", "--node", "URL"],
    )
    assert [code for code, _ in answers] == [ExitCode.OK] * 9
    assert answers[2][1].out.splitlines()[:3] == [
        "~ organisation/qasr",
        "  - weight = 2.0",
        "  + weight = 3.0",
    ]
    assert "  + weight = 2.0" in answers[3][1].out.splitlines()
    entry = json.loads(answers[4][1].out)["entries"][0]
    assert (entry["who"], entry["after"]["weight"]) == ("bina", 3.0)
    history = json.loads(answers[6][1].out)["generations"]
    assert [line["generation"] for line in history] == [3, 2, 1]
    assert history[0]["rolled_back_to"] == 1
    assert answers[7][1].out.count("organisation/qasr") == 3
    assert "no such entry" in answers[8][1].out


def test_conflicting_edits_are_refused_with_the_object_names(run, tmp_path):
    edited = copy_example(tmp_path / "second", "weight = 2.0", "weight = 3.0")
    code, printed = run(
        publish(
            copy_example(tmp_path / "first", "weight = 2.0", "weight = 1.5")
        ),
        publish(edited, "--base", "0"),
    )[1]
    assert code == ExitCode.REFUSED
    assert "organisation/qasr: changed by" in printed.out


def test_an_edit_changes_and_removes_only_what_it_names(run, tmp_path):
    edit = tmp_path / "edit.toml"
    edit.write_text('[[organisation]]\nname = "buyers"\nweight = 9.0\n')
    first, second, third = run(
        publish(QASR),
        publish(edit, "--edit", "--remove", "guaranteed_shape/buyer-seat"),
        publish(edit, "--edit", "--remove", "job_class/urgent"),
    )
    assert (first[0], second[0]) == (ExitCode.OK, ExitCode.OK)
    assert second[1].out.splitlines()[:3] == [
        "published generation 2",
        "  set organisation/buyers",
        "  remove guaranteed_shape/buyer-seat",
    ]
    assert third[0] == ExitCode.REFUSED
    assert "service/scorer: refers to job_class/urgent" in third[1].out


def test_findings_are_printed_with_their_locations(run, tmp_path):
    broken = copy_example(
        tmp_path, 'job_class = "urgent"', 'job_class = "urgnt"'
    )
    code, printed = run(publish(broken))[0]
    assert code == ExitCode.REFUSED
    assert printed.out.splitlines()[0] == (
        f"{broken}/scorer.toml:33: service/scorer: refers to "
        "job_class/urgnt, which does not exist; did you mean 'urgent'?"
    )


@pytest.mark.parametrize(
    ("line", "code"),
    [
        (["history", "--node", CLOSED_URL], ExitCode.NO_NODE),
        (["history", "--node", CLOSED_URL, "--node", "URL"], ExitCode.OK),
        (publish(QASR, "--node", CLOSED_URL), ExitCode.NO_NODE),
        (publish("no-such-directory"), ExitCode.USAGE),
        (["diff", "--node", "URL"], ExitCode.USAGE),
        (["rollback", "7", "--why", "x", "--node", "URL"], ExitCode.REFUSED),
    ],
)
def test_exit_code_of_each_outcome(run, line, code):
    assert run(line)[0][0] == code


def test_an_unavailable_platform_is_reported(run):
    platform = MemoryPlatform()
    platform.read_faults.extend([Fault.DOWN] * 1000)
    code, printed = run(["history", "--node", "URL"], platform=platform)[0]
    assert code == ExitCode.REFUSED
    assert "the platform is down" in printed.out
