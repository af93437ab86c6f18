#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules of Node.js 20 without dependencies:
# there is nothing to compile. This checks that they can be read.
set -eu
cd "$(dirname "$0")"
for file in common/*.mjs [0-9]*/*.mjs; do node --check "$file"; done
