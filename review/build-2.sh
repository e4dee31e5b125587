#!/bin/sh
# The stand-ins of the cases need no build: Python's standard library is enough. This
# checks that they can be compiled, and that the programs of the deploy file are built.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first" >&2; exit 2; }
exec python3 - <<'EOF'
import pathlib

for path in sorted(pathlib.Path("review").glob("*/*.py")):
    if path.parent.name in ("support_2", "6", "7", "8", "9", "10"):
        compile(path.read_text(), str(path), "exec")
EOF
