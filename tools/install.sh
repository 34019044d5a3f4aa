#!/usr/bin/env bash
# Makes .venv with the locked dependencies and this project.
set -eu
cd "$(dirname "$0")/.."
[ -d .venv ] || python3 -m venv .venv
.venv/bin/pip install --quiet --disable-pip-version-check -r requirements-lock.txt
.venv/bin/pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
