#!/usr/bin/env bash
# Builds what the scripts of the third review start: checks that the project's
# own stand-ins and those of review/lib3 load with the build of the deploy file.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
path="$root/target/deps:$root/review/lib3"
for source in "$root"/packages/{core,conversations,workspaces,quotas,ingress,pacing,policy,gateway,edge}/src "$root/platform/src"; do
    path="$path:$source"
done
cd "$root"
PYTHONPATH="$path" PYTHONDONTWRITEBYTECODE=1 python3 -c '
from balsamloom_testbed import faults, ports, servers, store
import rig
print("the stand-ins load")'
