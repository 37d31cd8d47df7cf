#!/usr/bin/env bash
exec bash "$(dirname "$0")/../lib3/run.sh" "$(dirname "$0")"
