#!/bin/sh
# Nothing is compiled for the scripts of review/6 to review/8: their stand-ins are stage2.py, which
# needs Python 3.9 and no package. This checks that it is there and that the programs are built.
set -eu
cd "$(dirname "$0")/.."
python3 - <<'EOF'
import ast, pathlib, sys
if sys.version_info < (3, 9):
    sys.exit("review/stage2.py needs Python 3.9 or later")
for path in ["review/stage2.py", *pathlib.Path("review").glob("[4-8]/case.py")]:
    ast.parse(pathlib.Path(path).read_text(encoding="utf-8"))
EOF
test -x target/shelflink-data
test -x target/shelflink-control
