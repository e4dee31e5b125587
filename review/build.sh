#!/bin/sh
# Checks that the stand-ins compile; they need only Python's standard library.
cd "$(dirname "$0")" || exit 1
exec python3 -c '
import pathlib
for path in sorted(pathlib.Path(".").rglob("*.py")):
    compile(path.read_bytes(), str(path), "exec")
print("stand-ins: ready")
'
