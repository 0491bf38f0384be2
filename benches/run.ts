/**
 * Runs the benches, or those named: `npm run bench -- ranks hop`.
 *
 * @module
 */
import process from "node:process";
import { type Bench, show } from "./bench.ts";
import { benchCapacity } from "./capacity_bench.ts";
import { benchHop } from "./hop_bench.ts";
import { benchOwnership } from "./ownership_bench.ts";
import { benchPlatform } from "./platform_bench.ts";
import { benchRanks } from "./ranks_bench.ts";

const benches: Readonly<Record<string, Bench>> = {
  ranks: benchRanks,
  hop: benchHop,
  ownership: benchOwnership,
  platform: benchPlatform,
  capacity: benchCapacity,
};

const wanted = process.argv.slice(2);
let kept = true;
for (const [name, bench] of Object.entries(benches)) {
  if (wanted.length > 0 && !wanted.includes(name)) continue;
  show(`\n== ${name}`);
  kept = await bench() && kept;
}
show(kept ? "\nall bounds kept" : "\nsome bounds were missed");
process.exit(kept ? 0 : 1);
