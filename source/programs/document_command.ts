/**
 * The operators' commands for the document.
 *
 * @module
 */
import { readFile } from "node:fs/promises";
import { Result } from "true-myth";
import { startLogicalClock } from "../adapters/logs/logical_clock.ts";
import { startMetrics } from "../adapters/logs/metrics.ts";
import { connectPeers } from "../adapters/hops/peer_client.ts";
import { openStore, type StoreClient } from "../adapters/store/store_client.ts";
import { readDocument } from "../adapters/document/yaml_document.ts";
import {
  compareSections,
  mergeSections,
  type SectionChange,
} from "../adapters/document/yaml_sections.ts";
import type { SectionFault } from "../core/document/document.ts";
import { mainObjectName, type StoreFault } from "../ports/store.ts";
import { ExitCode } from "./exit_code.ts";

/** Where a command writes. */
export interface Output {
  writeLine(line: string): void;
  writeError(line: string): void;
}

/** One call of a document command. */
export interface DocumentCall {
  readonly file: string | null;
  readonly flags: Readonly<Record<string, unknown>>;
  readonly environment: Readonly<Record<string, string | undefined>>;
  readonly output: Output;
}

const storeTimeoutMilliseconds = 5_000;
const censusTimeoutMilliseconds = 5_000;
const mergeAttempts = 10;

function textFlag(call: DocumentCall, name: string): string | null {
  const value = call.flags[name];
  return value === undefined ? null : String(value);
}

async function readText(
  call: DocumentCall,
  file: string | null,
): Promise<string | null> {
  if (file === null) {
    call.output.writeError("document: name the file with the document");
    return null;
  }
  try {
    return await readFile(file, "utf8");
  } catch {
    call.output.writeError(`document: can't read the file ${file}`);
    return null;
  }
}

function writeFaults(
  call: DocumentCall,
  faults: readonly SectionFault[],
): void {
  for (const fault of faults) {
    const path = fault.path === "" ? "" : `, ${fault.path}`;
    call.output.writeError(
      `section ${fault.section}${path}, line ${fault.line}: ${fault.reason}`,
    );
  }
}

/** Checks a file and names every fault in it. */
export async function checkDocument(call: DocumentCall): Promise<number> {
  const text = await readText(call, call.file);
  if (text === null) return ExitCode.usage;
  const document = readDocument(text);
  if (document.faults.length > 0) {
    writeFaults(call, document.faults);
    return ExitCode.faults;
  }
  const names = document.sections.map((section) => section.name).join(", ");
  call.output.writeLine(
    `no faults in ${document.sections.length} sections: ${names}`,
  );
  return ExitCode.success;
}

async function withStore(
  call: DocumentCall,
  use: (store: StoreClient) => Promise<number>,
): Promise<number> {
  const origin = textFlag(call, "store") ??
    call.environment["GERANIUMLEDGE_STORE"];
  if (origin === undefined || !/^https?:\/\/[^/\s]+$/.test(origin)) {
    call.output.writeError(
      "document: state the store with --store http://ip:port",
    );
    return ExitCode.usage;
  }
  const store = openStore({
    origin,
    timeoutMilliseconds: storeTimeoutMilliseconds,
    metrics: startMetrics(),
  });
  try {
    return await use(store);
  } finally {
    await store.close();
  }
}

function storeFailed(call: DocumentCall, fault: StoreFault): number {
  const detail = fault.kind === "conflict" ? "conflict" : fault.detail;
  call.output.writeError(`document: the store can't be used: ${detail}`);
  return ExitCode.unavailable;
}

/** Shows what a file would change in the stored document. */
export async function diffDocument(call: DocumentCall): Promise<number> {
  const text = await readText(call, call.file);
  if (text === null) return ExitCode.usage;
  return await withStore(call, async (store) => {
    const stored = await store.documents.read(mainObjectName);
    if (stored.isErr) return storeFailed(call, stored.error);
    const former = stored.value?.value.text ?? "";
    const changes = compareSections(former, text);
    if (changes.isErr) {
      call.output.writeError(`document: ${changes.error}`);
      return ExitCode.faults;
    }
    writeChanges(call, changes.value);
    return ExitCode.success;
  });
}

function writeChanges(
  call: DocumentCall,
  changes: readonly SectionChange[],
): void {
  if (changes.length === 0) call.output.writeLine("no section differs");
  for (const change of changes) {
    call.output.writeLine(`${change.kind} ${change.section}`);
    for (const line of change.lines) call.output.writeLine(`  ${line}`);
  }
}

/** Writes a file's sections, leaving other teams' newer edits in place. */
export async function applyDocument(call: DocumentCall): Promise<number> {
  const text = await readText(call, call.file);
  if (text === null) return ExitCode.usage;
  const baseFile = textFlag(call, "base");
  const base = baseFile === null ? null : await readText(call, baseFile);
  if (baseFile !== null && base === null) return ExitCode.usage;
  const faults = readDocument(text).faults;
  if (faults.length > 0) {
    writeFaults(call, faults);
    call.output.writeError("document: nothing was applied");
    return ExitCode.faults;
  }
  return await withStore(call, (store) => applyTo(store, { call, text, base }));
}

async function applyTo(
  store: StoreClient,
  options: {
    readonly call: DocumentCall;
    readonly text: string;
    readonly base: string | null;
  },
): Promise<number> {
  const { call, text, base } = options;
  const author = textFlag(call, "author") ??
    call.environment["USER"] ?? "unknown";
  for (let attempt = 1; attempt <= mergeAttempts; attempt += 1) {
    const stored = await store.documents.read(mainObjectName);
    if (stored.isErr) return storeFailed(call, stored.error);
    const current = stored.value?.value ?? null;
    const merged = mergeSections({
      current: current?.text ?? null,
      edited: text,
      base,
      section: textFlag(call, "section"),
    });
    if (merged.isErr) {
      const by = current === null ? "" : `; last edit by ${current.author}`;
      call.output.writeError(`document: ${merged.error}${by}`);
      return ExitCode.conflict;
    }
    const written = await store.documents.write(
      mainObjectName,
      { text: merged.value, author },
      { version: stored.value?.version ?? null },
    );
    if (written.isOk) {
      call.output.writeLine(`stored as version ${written.value}`);
      return ExitCode.success;
    }
    if (written.error.kind !== "conflict") {
      return storeFailed(call, written.error);
    }
  }
  call.output.writeError("document: others kept editing; apply it again");
  return ExitCode.conflict;
}

/** Prints the stored document. */
export async function showDocument(call: DocumentCall): Promise<number> {
  return await withStore(call, async (store) => {
    const stored = await store.documents.read(mainObjectName);
    if (stored.isErr) return storeFailed(call, stored.error);
    if (stored.value === null) {
      call.output.writeError("document: the store has no document yet");
      return ExitCode.faults;
    }
    call.output.writeLine(stored.value.value.text.trimEnd());
    return ExitCode.success;
  });
}

/** Says for each section whether it is in force, and where it is not. */
export async function statusOfDocument(call: DocumentCall): Promise<number> {
  return await withStore(call, async (store) => {
    const [document, acceptance] = await Promise.all([
      store.documents.read(mainObjectName),
      store.acceptances.read(mainObjectName),
    ]);
    if (document.isErr) return storeFailed(call, document.error);
    if (acceptance.isErr) return storeFailed(call, acceptance.error);
    if (document.value === null || acceptance.value === null) {
      call.output.writeLine("no document has been accepted yet");
      return ExitCode.faults;
    }
    const accepted = acceptance.value.value;
    if (accepted.judgedVersion !== document.value.version) {
      call.output.writeLine(
        `version ${document.value.version} is stored and not judged yet`,
      );
    }
    const census = await askCensus(call);
    if (census.isErr) {
      call.output.writeError(`document: ${census.error}`);
      return ExitCode.unavailable;
    }
    const refused = new Set(accepted.refusals.map((fault) => fault.section));
    let whole = refused.size === 0;
    for (const section of accepted.sections) {
      const { applied, missing } = census.value;
      const behind = applied.filter((one) => one.revision < section.revision);
      const hosts = [...missing, ...behind.map((one) => one.host)];
      const total = applied.length + missing.length;
      whole = whole && hosts.length === 0;
      const state = refused.has(section.name)
        ? "last good revision"
        : "accepted";
      call.output.writeLine(
        `${section.name}: ${state} ${section.revision}, in force on ` +
          `${total - hosts.length} of ${total}` +
          (hosts.length === 0 ? "" : `, missing: ${hosts.sort().join(", ")}`),
      );
    }
    for (const fault of accepted.refusals) {
      call.output.writeLine(
        `${fault.section}: refused, line ${fault.line}` +
          (fault.path === "" ? "" : `, ${fault.path}`) + `: ${fault.reason}`,
      );
    }
    return whole ? ExitCode.success : ExitCode.faults;
  });
}

async function askCensus(call: DocumentCall) {
  const address = textFlag(call, "agent");
  if (address === null) {
    return Result.err<never, string>(
      "state any agent's peer address with --agent ip:port",
    );
  }
  const peers = connectPeers({
    clock: startLogicalClock(),
    metrics: startMetrics(),
  });
  const reply = await peers.call(address, "census", {
    message: { addresses: null },
    timeoutMilliseconds: censusTimeoutMilliseconds,
  });
  await peers.close();
  return reply.mapErr((fault) =>
    `the agent ${address} does not answer: ${fault.detail}`
  );
}
