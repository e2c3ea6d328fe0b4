#!/bin/sh
# Builds the stand-ins of the review's cases: Python files of the standard library alone, compiled here to see
# that they are whole. Run it after the line `build` of deploy/balancer.toml; it needs no network.
set -e
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
