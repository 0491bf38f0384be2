#!/usr/bin/env bash
# Builds what runs on the users' platform into the folder that is named as the
# first argument, usually target/: the program, its compiled code, and what
# launches it.
set -euo pipefail
cd "$(dirname "$0")/.."
out="${1:-target}"
mkdir -p "$out"
bash build/bundle.sh "$out/program.cjs" --minify-whitespace \
  --alias:undici=./build/undici.cjs --alias:node:http2=./build/absent.cjs \
  --alias:hdr-histogram-js=./node_modules/hdr-histogram-js/dist/HistogramBuilder.js
cp build/launch.cjs "$out/geraniumledge.cjs"
rm -f "$out/program.code"
# Compiled code fits only a runtime that is started with the same options.
options=$(grep -o -- '--max-old-space-size=[0-9]*' deploy/system.toml)
# Without settings the program loads all its parts, says so, and ends.
GERANIUMLEDGE_NODE_FILE="" node "$options" build/compile.cjs \
  "$out/geraniumledge.cjs" platform-agent 2> /dev/null
