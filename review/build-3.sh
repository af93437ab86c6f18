#!/bin/sh
# The stand-ins and scripts of cases 11 to 15 are plain JavaScript for the Node.js of the build;
# nothing is compiled. This checks that each can be parsed.
cd "$(dirname "$0")" || exit 1
for file in stand-ins-3/*.mjs 1[1-5]/*.mjs; do
  [ -e "$file" ] || continue
  node --check "$file" || exit 1
done
