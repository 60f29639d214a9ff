#!/bin/bash
# Builds the stand-ins of the cases. Needs the tool chain alone: there are no dependencies.
set -e
cd "$(dirname "$0")/stand-ins"
exec cargo build --release --offline --locked
