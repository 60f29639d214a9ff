#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
# Runs for 110 s at most. All processes of the case are in the group that timeout makes, and end with it.
CASE="$(cd "$(dirname "$0")" && pwd)"
ROOT="$(cd "$CASE/../.." && pwd)"
TMPDIR="$(mktemp -d)" || exit 2
export CASE ROOT TMPDIR
timeout -k 3 110 "$ROOT/review/stand-ins/target/release/memory" &
program=$!
trap 'kill -KILL -- "-$program" 2>/dev/null; rm -rf "$TMPDIR"' EXIT
trap 'kill "$program" 2>/dev/null; wait "$program"; exit 2' TERM INT HUP
wait "$program"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
