#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases (6 to 10). They use the standard library only, so no network is needed. The
# project itself is built by the command `build` of deploy/balancer.toml before.
set -euo pipefail
cd "$(dirname "$0")/stand-ins-2"
cargo build --release --locked --offline
