#!/usr/bin/env bash
# Compiles the stand-ins of the scripts, which need nothing beyond the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONPATH="target/deps:."
python3 -m compileall -q review
python3 -c "import sys; sys.path.insert(0, 'review'); import support"
