#!/bin/sh
# Builds what the scripts of cases 6 to 10 start besides the build of the deploy file: the
# stand-ins and callers in review/common-2 and in the folders of the cases. They use the
# libraries in target/deps.
cd "$(dirname "$0")/.." || exit 2
PYTHONPATH=target/deps exec python3 -m compileall -q review/common-2 review/[6-9] $(ls -d review/10 2>/dev/null)
