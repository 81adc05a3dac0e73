#!/usr/bin/env bash
# The stand-ins are plain modules of Node.js without dependencies: nothing is
# compiled, and this only checks that they can be read. They start the gateway
# that the deploy file's build has put under target/.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-9]/*.mjs; do
  if [ -e "$file" ]; then node --check "$file"; fi
done
test -s ../target/banyanspoold.cjs || echo "build the deploy file first" >&2
