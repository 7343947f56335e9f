#!/bin/sh
# Builds the stand-ins that the scripts start: Python's own library only.
cd "$(dirname "$0")/.." && exec python3 -m compileall -q -f review/rig
