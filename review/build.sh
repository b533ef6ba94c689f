#!/bin/sh
# The stand-ins are Python programs that need only the standard library (3.9 or later). Checks that they compile.
set -e
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in standin/*.py */case.py; do
  python3 - "$file" <<'PY'
import sys
compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
PY
done
echo "stand-ins are ready"
