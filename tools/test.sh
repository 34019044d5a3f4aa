#!/usr/bin/env bash
# Sets up what is needed and runs all tests.
set -eu
cd "$(dirname "$0")/.."
./tools/install.sh
exec .venv/bin/python tests/run.py "$@"
