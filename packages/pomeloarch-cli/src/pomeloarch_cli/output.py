"""Output of commands: text for people, JSON for programs."""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from pomeloarch_cli.client import NoAnswer, Reply
from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.formats import problem_lines


class Output:
    """Prints results to stdout, and progress and errors to stderr.

    Args:
      as_json: whether results are printed as JSON.
    """

    def __init__(self, *, as_json: bool) -> None:
        """Sets the output format."""
        self._as_json = as_json

    def print_result(self, lines: list[str], data: Any) -> None:
        """Prints a result in the selected format.

        Args:
          lines: the result as text.
          data: the result as an object, for JSON.
        """
        if self._as_json:
            print(msgspec.json.encode(data).decode())
            return
        for line in lines:
            print(line)

    def print_progress(self, line: str) -> None:
        """Prints a line of progress."""
        print(line, file=sys.stderr, flush=True)

    def print_usage_error(self, message: str) -> ExitCode:
        """Prints a usage error; returns the exit code."""
        print(f"pomelo: {message}", file=sys.stderr)
        return ExitCode.USAGE

    def print_refusal(self, reply: Reply) -> ExitCode:
        """Prints the problem in a node's answer; returns the exit code."""
        self.print_result(problem_lines(reply.status, reply.body), reply.body)
        if reply.field("outcome") == "unknown":
            return ExitCode.UNKNOWN
        return ExitCode.REFUSED

    def print_no_answer(
        self, failure: NoAnswer, retry_with: str = ""
    ) -> ExitCode:
        """Prints that no node gave a conclusive answer.

        Args:
          failure: what happened at each node.
          retry_with: the option that makes it safe to repeat the command.

        Returns:
          The exit code.
        """
        summary = "it is not known whether this was done"
        if not failure.may_have_run:
            summary = "no node answered; nothing was done"
        print(f"pomelo: {summary}", file=sys.stderr)
        for reason in failure.reasons:
            print(f"  {reason}", file=sys.stderr)
        if failure.may_have_run and retry_with:
            print(f"pomelo: try again with {retry_with}", file=sys.stderr)
        return ExitCode.UNKNOWN if failure.may_have_run else ExitCode.NO_NODE
