#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python files of the
# standard library only, so it is enough that all of them compile.
cd "$(dirname "$0")/.." || exit 1
exec python3 -m compileall -q review/lib review/[1-5]
