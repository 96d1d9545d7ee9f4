"""What commands print: text for people, JSON for programs."""

from __future__ import annotations

import sys
from typing import Any

import msgspec

from pomeloarch_cli.client import NoAnswer, Reply
from pomeloarch_cli.exit_codes import ExitCode
from pomeloarch_cli.formats import problem_lines


class Output:
    """Prints results to stdout, progress and complaints to stderr.

    Args:
      as_json: whether results are printed as JSON.
    """

    def __init__(self, *, as_json: bool) -> None:
        """Keeps the format."""
        self._as_json = as_json

    def result(self, lines: list[str], data: Any) -> None:
        """Prints a result in the format asked for."""
        if self._as_json:
            print(msgspec.json.encode(data).decode())
            return
        for line in lines:
            print(line)

    def progress(self, line: str) -> None:
        """Tells that something goes on."""
        print(line, file=sys.stderr, flush=True)

    def usage(self, message: str) -> ExitCode:
        """Complains about the command line."""
        print(f"pomelo: {message}", file=sys.stderr)
        return ExitCode.USAGE

    def refused(self, reply: Reply) -> ExitCode:
        """Prints a problem that a node answered with."""
        self.result(problem_lines(reply.status, reply.body), reply.body)
        if reply.field("outcome") == "unknown":
            return ExitCode.UNKNOWN
        return ExitCode.REFUSED

    def no_answer(self, failure: NoAnswer, retry_with: str = "") -> ExitCode:
        """Tells that no node answered.

        Args:
          failure: what happened at each node.
          retry_with: the option that makes a second try of a call safe.
        """
        what = "it is not known whether this was done"
        if not failure.in_doubt:
            what = "no node answers; nothing was done"
        print(f"pomelo: {what}", file=sys.stderr)
        for reason in failure.reasons:
            print(f"  {reason}", file=sys.stderr)
        if failure.in_doubt and retry_with:
            print(f"pomelo: try again with {retry_with}", file=sys.stderr)
        return ExitCode.UNKNOWN if failure.in_doubt else ExitCode.NO_NODE
