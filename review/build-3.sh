#!/bin/sh
# Builds the stand-ins of the scripts of this review: plain Python, compiled.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review/standins-3
