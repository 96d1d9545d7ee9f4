#!/usr/bin/env bash
# Starts the test doubles and six nodes as separate processes, runs a driver
# program against them and stops, by id, every process that it started.
#
# usage: tools/demo.sh EXAMPLE [DRIVER-MODULE]
#   EXAMPLE        shrestha or qasr
#   DRIVER-MODULE  the program to run (default: pomeloarch_standins.demo)
# environment: DEMO_BLOCK, the second number of the loopback addresses (default 1)
set -u
cd "$(dirname "$0")/.."

example=${1:-shrestha}
driver=${2:-pomeloarch_standins.demo}
block=${DEMO_BLOCK:-1}
bin=.venv/bin
work=.demo/$example-$block
started=()

if [ ! -d "examples/$example" ]; then
  echo "demo: there is no example named '$example'; try shrestha or qasr" >&2
  exit 2
fi

# Runs a node and restarts it each time it ends, until the demo is stopped.
keep_node() {
  local name=$1
  while [ ! -e "$work/ending" ]; do
    "$bin/pomelod" --config "$work/$name.toml" --log-format json \
      2>>"$work/$name.log" &
    echo $! >"$work/$name.pid"
    { wait $!; } 2>/dev/null
    echo $? >>"$work/$name.exits"
    sleep 1
  done
}

start() {
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  started+=($!)
}

finish() {
  trap - EXIT INT TERM
  touch "$work/ending"
  local pid
  for pid in $(cat "$work"/*.pid 2>/dev/null); do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
  done
  for pid in "${started[@]}"; do
    kill -TERM "$pid" 2>/dev/null
  done
  wait 2>/dev/null
}

rm -rf "$work"
mkdir -p "$work"
trap finish EXIT
trap 'finish; exit 130' INT TERM

python=$bin/python
"$python" -m pomeloarch_standins.demo_layout \
  --example "$example" --block "$block" --output "$work" || exit 1
# Each line has the name of a log, a module and its arguments.
while read -r name module arguments; do
  # shellcheck disable=SC2086
  start "$name" "$python" -m "$module" $arguments
done <"$work/standins.txt"
while read -r name; do
  keep_node "$name" &
  started+=($!)
done <"$work/nodes.txt"

"$python" -m "$driver" --example "$example" --block "$block" --work "$work" &
driver_pid=$!
started+=("$driver_pid")
wait "$driver_pid"
code=$?
finish
exit "$code"
