#!/usr/bin/env bash
# Sets up what is needed and runs the demo.
set -eu
cd "$(dirname "$0")/.."
./tools/install.sh
exec .venv/bin/daleroad demo "$@"
