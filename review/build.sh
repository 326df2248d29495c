#!/usr/bin/env bash
# Checks that the stand-ins of the cases can be run. They are Python files in common/ that
# need the standard library alone; the entries come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps/foxtailcourse ] || {
  echo "run the build command of deploy/system.toml first" >&2
  exit 1
}
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
PYTHONPATH=review/common python3 -B -c 'import fleet, http11, store, worker'
PYTHONPATH=target/deps python3 -B -c 'import foxtailcourse.ingress.run'
