#!/usr/bin/env bash
# Installs the last commit as a new machine does: in a clone, with empty caches.
set -euo pipefail

folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
git clone --quiet "$(git rev-parse --show-toplevel)" "$folder/clone"
cd "$folder/clone"

time PIP_CACHE_DIR="$folder/install-cache" make .venv/.installed
.venv/bin/python -c 'import hdrh.histogram, pomeloarch_platform'

# The build has a cache of its own: the first one holds wheels by now.
build=$(.venv/bin/python -c '
import pathlib, tomllib
print(tomllib.loads(pathlib.Path("deploy/system.toml").read_text())["build"])
')
time PIP_CACHE_DIR="$folder/build-cache" sh -c "$build"
PYTHONPATH=target/deps python3 -c 'import hdrh.histogram, pomeloarch_platform'
