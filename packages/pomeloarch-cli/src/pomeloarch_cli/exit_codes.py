"""Exit codes, for shell scripts."""

from __future__ import annotations

import enum


class ExitCode(enum.IntEnum):
    """What the exit code of `pomelo` says."""

    OK = 0
    REFUSED = 1
    USAGE = 2
    NO_NODE = 3
    UNKNOWN = 4


EXIT_CODES_HELP = """\
exit codes:
  0  done
  1  findings, a conflict, a refusal, or a job that did not succeed
  2  the command line is wrong
  3  no node answers; nothing was done
  4  it is not known whether it was done; the same command with the id that
     is printed settles it and never does it twice
"""
