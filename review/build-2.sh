#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10, after the build of the deploy file.
# They are Python modules, the project's own among them, so that it checks that they can be used.
set -eu
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD/target/deps:$PWD:$PWD/review" PYTHONDONTWRITEBYTECODE=1
python3 -c "import support_2; import cassiadrum.platform.standins; import cassiadrum.platform"
