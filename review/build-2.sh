#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10. They are plain modules of Node and
# use no library, so that only their syntax is checked.
set -euo pipefail
cd "$(dirname "$0")"
for file in stand-ins-2/*.mjs [0-9]*/case.mjs; do
  node --check "$file"
done
