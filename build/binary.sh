#!/usr/bin/env bash
# Builds the one binary: a bundle of the program inside a copy of the runtime.
set -euo pipefail
cd "$(dirname "$0")/.."
out=distribution
mkdir -p "$out"
bash build/bundle.sh "$out/geraniumledge.cjs"
cat > "$out/sea.json" <<JSON
{
  "main": "$out/geraniumledge.cjs",
  "output": "$out/geraniumledge.blob",
  "disableExperimentalSEAWarning": true
}
JSON
node --experimental-sea-config "$out/sea.json" > /dev/null
cp "$(node -p process.execPath)" "$out/geraniumledge"
chmod u+w "$out/geraniumledge"
npx postject "$out/geraniumledge" NODE_SEA_BLOB "$out/geraniumledge.blob" \
  --sentinel-fuse NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2 > /dev/null
rm "$out/sea.json" "$out/geraniumledge.blob"
echo "$out/geraniumledge $("$out/geraniumledge" --version)"
