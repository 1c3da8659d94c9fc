#!/usr/bin/env bash
# Builds the programs and stand-ins of the scripted cases into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
for source in review/*/case.ts; do
  [ -e "$source" ] || continue
  number="$(basename "$(dirname "$source")")"
  node_modules/.bin/esbuild "$source" --bundle --platform=node --target=node20 --format=cjs \
    --log-level=warning --outfile="target/review/case-$number.cjs"
done
