#!/usr/bin/env bash
# Builds what runs on the users' platform: one file under target/.
set -euo pipefail
cd "$(dirname "$0")/.."
bash build/bundle.sh target/geraniumledge.cjs --minify-whitespace
