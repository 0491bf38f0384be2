#!/usr/bin/env bash
# Bundles the program into the one file that is named as the first argument.
set -euo pipefail
cd "$(dirname "$0")/.."
npx esbuild source/programs/main.ts --bundle --platform=node --format=cjs \
  --target=node20 --alias:dtrace-provider=./build/absent.cjs \
  --alias:bufferutil=./build/absent.cjs --alias:utf-8-validate=./build/absent.cjs \
  --alias:source-map-support=./build/absent.cjs --log-level=warning \
  "${@:2}" --outfile="$1"
