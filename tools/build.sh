#!/usr/bin/env bash
# Builds dist/daleroad.pyz, one file with the program and its locked dependencies.
set -eu
cd "$(dirname "$0")/.."
./tools/install.sh
mkdir -p dist build
grep -v -i -E '^(hypothesis|mypy|ruff|shiv|librt|ast_serialize|sortedcontainers-stubs)' \
    requirements-lock.txt > build/requirements-run.txt
.venv/bin/shiv --quiet --compressed -c daleroad -o dist/daleroad.pyz -p '/usr/bin/env python3.11' \
    -r build/requirements-run.txt --no-deps .
