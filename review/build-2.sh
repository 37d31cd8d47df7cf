#!/usr/bin/env bash
# Builds what the scripts in review/6 to review/10 start beside the roles of the
# deploy file: stand-ins in Python, which need no more than the deploy file's build.
set -eu
cd "$(dirname "$0")/.."
PYTHONPYCACHEPREFIX=target/review-2 python3 -m compileall -q review/lib2 platform/src/balsamloom_testbed
PYTHONPATH=review/lib2 python3 -B -c "import rig"
