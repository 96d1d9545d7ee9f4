"""`pomelo submit`, `job` and `explain`: the commands for callers."""

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
    positive_int,
    seconds,
    subject,
)
from pomeloarch_cli.client import NoAnswer, NodeClient, Reply
from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.formats import audit_lines, explain_lines, job_lines
from pomeloarch_cli.output import Output
from pomeloarch_cli.session import (
    add_node_command,
    make_output,
    open_client,
)
from pomeloarch_core.gang.messages import JobState

_POLL_INTERVAL_S = 0.5


def add_to(commands: argparse._SubParsersAction) -> None:
    """Adds the commands to the subparsers."""
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
        help="the organisation that owns the job",
    )
    add(
        "--caller",
        type=header_text,
        default="",
        help="the caller that submits the job",
    )
    add(
        "--job-class",
        required=True,
        metavar="CLASS",
        help="the class of the job",
    )
    add(
        "--members",
        type=positive_int,
        default=1,
        help="the number of tasks in its gang",
    )
    add(
        "--accelerators",
        type=positive_int,
        default=1,
        help="accelerators of each member",
    )
    add(
        "--memory-gb",
        type=float,
        default=1.0,
        help="memory of each member, in GB",
    )
    add(
        "--declared-run-s",
        type=seconds,
        default=60.0,
        help="the expected run time, in seconds",
    )
    add("--team", help="the team whose quota the job counts against")
    add("--availability-zone", help="run the job only in this zone")
    add(
        "--non-idempotent",
        action="store_true",
        help="never start the job twice, even if it may not have run",
    )
    add("--command", default="", help="the command that its tasks run")
    add(
        "--idempotency-key",
        type=header_text,
        metavar="KEY",
        help="the key of an earlier attempt whose outcome is not known",
    )
    _add_wait_options(parser)
    parser.set_defaults(run=_submit)


def _add_job(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(
        commands, "job", "Print, wait for or cancel a job."
    )
    parser.add_argument(
        "job_id", type=job_id, help="the id that `pomelo submit` printed"
    )
    parser.add_argument(
        "--cancel",
        action="store_true",
        help="request that the job be cancelled",
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
        help="the longest time to wait (default: no limit)",
    )


def _add_explain(commands: argparse._SubParsersAction) -> None:
    parser = add_node_command(
        commands,
        "explain",
        "Print the reasons for a job's state, or who changed an object.",
    )
    parser.add_argument(
        "subject",
        type=subject,
        help="the id of a job, or an object as kind/name",
    )
    parser.set_defaults(run=_explain)


async def _submit(args: argparse.Namespace) -> ExitCode:
    out = make_output(args)
    key = args.idempotency_key or uuid.uuid4().hex
    headers = {
        "Pomelo-Organisation": args.organisation,
        "Pomelo-Caller": args.caller,
        "Idempotency-Key": key,
    }
    async with open_client(args) as client:
        answer = await client.call(
            "POST", "/v1/jobs", body=_job_body(args), headers=headers
        )
        return await _print_job(args, out, client, answer, key)


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
    out = make_output(args)
    path = f"/v1/jobs/{args.job_id}"
    async with open_client(args) as client:
        method = "DELETE" if args.cancel else "GET"
        answer = await client.call(method, path)
        return await _print_job(args, out, client, answer, "")


async def _print_job(
    args: argparse.Namespace,
    out: Output,
    client: NodeClient,
    answer: Result[Reply, NoAnswer],
    key: str,
) -> ExitCode:
    """Prints a job, after it has ended if `--wait` was given.

    Args:
      args: the arguments.
      out: prints the job.
      client: the client for further calls.
      answer: the answer that holds the job.
      key: the idempotency key of the call; empty without one.
    """
    if isinstance(answer, Ok) and answer.ok_value.ok and args.wait:
        awaited_id = str(answer.ok_value.field("job_id"))
        answer = await _wait_until_final(client, out, awaited_id, args.wait_s)
    if isinstance(answer, Err):
        retry = f"--idempotency-key {key}" if key else ""
        return out.print_no_answer(answer.err_value, retry)
    reply = answer.ok_value
    if not reply.ok:
        return out.print_refusal(reply)
    out.print_result(job_lines(reply.body), reply.body)
    return _exit_code(str(reply.field("state"))) if args.wait else ExitCode.OK


async def _wait_until_final(
    client: NodeClient, out: Output, job: str, wait_s: float
) -> Result[Reply, NoAnswer]:
    """Polls a job until it has ended, and prints each change of state."""
    deadline = time.monotonic() + wait_s
    last_line = ""
    while True:
        answer = await client.get(f"/v1/jobs/{job}")
        if isinstance(answer, Ok):
            state = str(answer.ok_value.field("state"))
            if not answer.ok_value.ok or _is_final(state):
                return answer
            line = f"{job}: {state}"
        else:
            line = f"{job}: no node answered, retrying"
        if time.monotonic() >= deadline:
            return answer
        if line != last_line:
            out.print_progress(line)
            last_line = line
        await asyncio.sleep(_POLL_INTERVAL_S)


def _is_final(state: str) -> bool:
    return any(
        known_state.is_final
        for known_state in JobState
        if known_state.value == state
    )


def _exit_code(state: str) -> ExitCode:
    if state == JobState.SUCCEEDED.value:
        return ExitCode.OK
    if not _is_final(state) or state == JobState.UNKNOWN.value:
        return ExitCode.UNKNOWN
    return ExitCode.REFUSED


async def _explain(args: argparse.Namespace) -> ExitCode:
    out = make_output(args)
    is_object = "/" in args.subject
    async with open_client(args) as client:
        if is_object:
            params = {"subject": args.subject, "limit": "100"}
            answer = await client.get("/v1/audit", params)
        else:
            answer = await client.get(f"/v1/jobs/{args.subject}/explain")
    if isinstance(answer, Err):
        return out.print_no_answer(answer.err_value)
    reply = answer.ok_value
    if not reply.ok:
        return out.print_refusal(reply)
    if not is_object:
        out.print_result(explain_lines(reply.body), reply.body)
        return ExitCode.OK
    # A node returns all entries whose subject starts with the given text.
    entries = [
        entry
        for entry in reply.field("entries", ())
        if entry.get("subject") == args.subject
    ]
    out.print_result(audit_lines({"entries": entries}), {"entries": entries})
    return ExitCode.OK
