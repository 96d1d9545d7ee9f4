"""Runs the command: `python -m pomeloarch_standins.batch_fuzz`."""

import sys

from pomeloarch_standins.batch_fuzz.command import main

if __name__ == "__main__":
    sys.exit(main())
