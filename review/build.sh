#!/usr/bin/env bash
# The stand-ins and cases are plain modules of the runtime: nothing is compiled.
set -euo pipefail
cd "$(dirname "$0")"
for file in standins/*.mjs [1-5]/case.mjs; do node --check "$file"; done
