"""Exit codes of the command line, for shell scripts."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """An exit code of `pomelo`; the help text explains each."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    NO_NODE = 3
    UNKNOWN = 4


EXIT_CODES_HELP = """\
exit codes:
  0  success
  1  findings, a conflict, a refusal, or a job that did not succeed
  2  usage error
  3  no node answered; nothing was done
  4  the outcome is not known; repeat the command with the id that it prints,
     which completes the change and never makes it twice
"""
