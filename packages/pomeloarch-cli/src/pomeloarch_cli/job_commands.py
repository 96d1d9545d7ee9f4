"""`pomelo submit`, `job` and `explain`: a caller's view of jobs."""

from __future__ import annotations

import argparse
import asyncio
import time
import uuid
from typing import Any

from result import Err, Ok, Result

from pomeloarch_cli.arguments import (
    header_text,
    job_id,
    positive_number,
    seconds,
    subject,
)
from pomeloarch_cli.client import NoAnswer, NodeClient, Reply
from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.formats import audit_lines, explain_lines, job_lines
from pomeloarch_cli.output import Output
from pomeloarch_cli.session import (
    add_node_command,
    connect,
    output_of,
)
from pomeloarch_core.gang.messages import JobState

_POLL_S = 0.5


def add_to(commands: argparse._SubParsersAction) -> None:
    """Adds the commands to a parser."""
    _add_submit(commands)
    _add_job(commands)
    _add_explain(commands)


def _add_submit(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(
        commands, "submit", "Submit a job and print its id."
    )
    add = parser.add_argument
    add(
        "--organisation",
        type=header_text,
        required=True,
        help="whose job it is",
    )
    add("--caller", type=header_text, default="", help="who submits it")
    add("--job-class", required=True, metavar="CLASS", help="its class")
    add("--members", type=positive_number, default=1, help="tasks of its gang")
    add(
        "--accelerators", type=positive_number, default=1, help="of each member"
    )
    add("--memory-gb", type=float, default=1.0, help="of each member, in GB")
    add(
        "--declared-run-s",
        type=seconds,
        default=60.0,
        help="the run time that is expected, in seconds",
    )
    add("--team", help="the team whose quota it counts against")
    add("--availability-zone", help="run it in this zone only")
    add(
        "--non-idempotent",
        action="store_true",
        help="never start it a second time, also in doubt",
    )
    add("--command", default="", help="what its tasks run")
    add(
        "--idempotency-key",
        type=header_text,
        metavar="KEY",
        help="the key of an earlier try whose outcome is not known",
    )
    _add_wait_options(parser)
    parser.set_defaults(run=_submit)


def _add_job(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(commands, "job", "Print, await or cancel a job.")
    parser.add_argument(
        "job_id", type=job_id, help="the id that submit printed"
    )
    parser.add_argument(
        "--cancel", action="store_true", help="ask for the job's end"
    )
    _add_wait_options(parser)
    parser.set_defaults(run=_job)


def _add_wait_options(parser: argparse.ArgumentParser) -> None:
    parser.add_argument(
        "--wait", action="store_true", help="wait until the job has ended"
    )
    parser.add_argument(
        "--wait-s",
        type=seconds,
        default=float("inf"),
        metavar="SECONDS",
        help="how long to wait at most (default: without limit)",
    )


def _add_explain(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(
        commands,
        "explain",
        "Print why a job stands where it does, or who changed an object.",
    )
    parser.add_argument(
        "subject", type=subject, help="a job's id, or an object as kind/name"
    )
    parser.set_defaults(run=_explain)


async def _submit(args: argparse.Namespace) -> ExitCode:
    out = output_of(args)
    key = args.idempotency_key or uuid.uuid4().hex
    headers = {
        "Pomelo-Organisation": args.organisation,
        "Pomelo-Caller": args.caller,
        "Idempotency-Key": key,
    }
    async with connect(args) as client:
        answer = await client.call(
            "POST", "/v1/jobs", body=_job_body(args), headers=headers
        )
        return await _finish(args, out, client, answer, key)


def _job_body(args: argparse.Namespace) -> dict[str, Any]:
    body = {
        "job_class": args.job_class,
        "members": args.members,
        "accelerators": args.accelerators,
        "memory_gb": args.memory_gb,
        "declared_run_s": args.declared_run_s,
        "idempotent": not args.non_idempotent,
        "command": args.command,
    }
    if args.team is not None:
        body["team"] = args.team
    if args.availability_zone is not None:
        body["availability_zone"] = args.availability_zone
    return body


async def _job(args: argparse.Namespace) -> ExitCode:
    out = output_of(args)
    path = f"/v1/jobs/{args.job_id}"
    async with connect(args) as client:
        method = "DELETE" if args.cancel else "GET"
        answer = await client.call(method, path)
        return await _finish(args, out, client, answer, "")


async def _finish(
    args: argparse.Namespace,
    out: Output,
    client: NodeClient,
    answer: Result[Reply, NoAnswer],
    key: str,
) -> ExitCode:
    """Prints a job, once it has ended if that was asked for."""
    if isinstance(answer, Ok) and answer.ok_value.ok and args.wait:
        waited = str(answer.ok_value.field("job_id"))
        answer = await _wait(client, out, waited, args.wait_s)
    if isinstance(answer, Err):
        retry = f"--idempotency-key {key}" if key else ""
        return out.no_answer(answer.err_value, retry)
    reply = answer.ok_value
    if not reply.ok:
        return out.refused(reply)
    out.result(job_lines(reply.body), reply.body)
    return _exit_code(str(reply.field("state"))) if args.wait else ExitCode.OK


async def _wait(
    client: NodeClient, out: Output, job: str, wait_s: float
) -> Result[Reply, NoAnswer]:
    """Polls a job until it has ended, and tells of each change."""
    give_up_at = time.monotonic() + wait_s
    shown = ""
    while True:
        answer = await client.get(f"/v1/jobs/{job}")
        if isinstance(answer, Ok):
            state = str(answer.ok_value.field("state"))
            if not answer.ok_value.ok or _final(state):
                return answer
            line = f"{job}: {state}"
        else:
            line = f"{job}: no node answers, trying on"
        if time.monotonic() >= give_up_at:
            return answer
        if line != shown:
            out.progress(line)
            shown = line
        await asyncio.sleep(_POLL_S)


def _final(state: str) -> bool:
    return any(found.is_final for found in JobState if found.value == state)


def _exit_code(state: str) -> ExitCode:
    if state == JobState.SUCCEEDED.value:
        return ExitCode.OK
    if not _final(state) or state == JobState.UNKNOWN.value:
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED


async def _explain(args: argparse.Namespace) -> ExitCode:
    out = output_of(args)
    about_object = "/" in args.subject
    async with connect(args) as client:
        if about_object:
            params = {"subject": args.subject, "limit": "100"}
            answer = await client.get("/v1/audit", params)
        else:
            answer = await client.get(f"/v1/jobs/{args.subject}/explain")
    if isinstance(answer, Err):
        return out.no_answer(answer.err_value)
    reply = answer.ok_value
    if not reply.ok:
        return out.refused(reply)
    if not about_object:
        out.result(explain_lines(reply.body), reply.body)
        return ExitCode.OK
    # The trail is searched by the beginnings of subjects.
    entries = [
        entry
        for entry in reply.field("entries", ())
        if entry.get("subject") == args.subject
    ]
    out.result(audit_lines({"entries": entries}), {"entries": entries})
    return ExitCode.OK
