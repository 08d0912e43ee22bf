#!/usr/bin/env bash
# Runs the script trial.py of the folder given, at the root of the repository.
set -euo pipefail
folder="$(cd "$1" && pwd)"
cd "$folder/../.."
export PYTHONPATH="target/deps:.:review"
exec python3 "$folder/trial.py"
