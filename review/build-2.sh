#!/bin/sh
# Checks the stand-ins of the cases 6 to 10. They use only Python's standard
# library, so nothing has to be installed or compiled.
here="$(cd "$(dirname "$0")" && pwd)" || exit 1
cache="$(mktemp -d)" || exit 1
PYTHONPYCACHEPREFIX="$cache" python3 -m compileall -q "$here/rig-2" "$here"/[0-9]*/case.py
code=$?
rm -rf "$cache"
exit "$code"
