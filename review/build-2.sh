#!/bin/sh
# Builds the stand-ins and clients of the cases 6 to 10 into target/review-2/.
set -eu
cd "$(dirname "$0")/.."
for case in 6 7 8 9 10; do
  [ -f "review/$case/main.ts" ] || continue
  node_modules/.bin/esbuild "review/$case/main.ts" --bundle --platform=node \
    --target=node20 --format=esm --conditions=source --log-level=warning \
    --outfile="target/review-2/case-$case.mjs" \
    --banner:js="import{createRequire}from'node:module';const require=createRequire(import.meta.url);"
done
