#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption out.
CASE="$(cd "$(dirname "$0")" && pwd)"
ROOT="$(cd "$CASE/../.." && pwd)"
export CASE ROOT
timeout -k 3 110 "$ROOT/review/stand-ins/target/release/memory"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
