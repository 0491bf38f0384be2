/**
 * Processes that are started for one mesh, looked after while it starts, and
 * ended with it.
 *
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { fileURLToPath } from "node:url";

/** The processes of one mesh. */
export interface Children {
  /** Starts a process in the root of the sources. */
  launch(
    words: readonly string[],
    environment?: Readonly<Record<string, string>>,
  ): ChildProcess;
  /** What all of them have printed so far. */
  lines(): readonly string[];
  /**
   * Waits until a condition holds. Fails at once with `EndedTooEarly`, which
   * has the last lines that it printed, when one of these processes ends.
   */
  until(
    condition: () => Promise<boolean>,
    needed: readonly ChildProcess[],
  ): Promise<void>;
  /** Ends those that still run; none can be started any more. */
  stop(): Promise<void>;
}

const root = fileURLToPath(new URL("..", import.meta.url));
const readyMilliseconds = 30_000;
const pollMilliseconds = 50;
/** Lines of a process that are told when it ended too early. */
const lastLines = 20;

/** A process, and what is known of it. */
interface Child {
  readonly process: ChildProcess;
  readonly words: readonly string[];
  readonly lines: string[];
  readonly ended: Promise<void>;
  /** On this process's steady clock; null while it runs. */
  endedAt: number | null;
}

/** A process has ended that was waited for. */
export class EndedTooEarly extends Error {
  /** When this process was told, on its steady clock in milliseconds. */
  readonly endedAt: number;

  /** Says what the process had printed last. */
  constructor(message: string, endedAt: number) {
    super(message);
    this.endedAt = endedAt;
  }
}

/** Begins with no process. */
export function openChildren(): Children {
  const children = new Map<ChildProcess, Child>();
  const lines: string[] = [];
  let stopped = false;

  function launch(
    words: readonly string[],
    environment: Readonly<Record<string, string>> = {},
  ): ChildProcess {
    if (stopped) throw new Error("its mesh has been stopped");
    const [file = "", ...rest] = words;
    const launched = spawn(file, rest, {
      cwd: root,
      stdio: ["ignore", "pipe", "pipe"],
      env: { ...process.env, ...environment },
    });
    const own: string[] = [];
    const keep = (text: string) => {
      const found = text.split("\n").filter((line) => line !== "");
      own.push(...found);
      lines.push(...found);
    };
    // By then all that it printed has been read.
    const ended = new Promise<void>((resolve) => {
      launched.once("close", () => resolve());
      launched.once("error", (error) => {
        keep(error.message);
        resolve();
      });
    });
    const child: Child = {
      process: launched,
      words,
      lines: own,
      ended,
      endedAt: null,
    };
    children.set(launched, child);
    void ended.then(() => child.endedAt = performance.now());
    for (const stream of [launched.stdout, launched.stderr]) {
      stream.on("data", (data) => keep(String(data)));
    }
    return launched;
  }

  return {
    launch,
    lines: () => lines,
    until: (condition, needed) =>
      until(async () => {
        for (const child of needed) failIfEnded(children.get(child));
        return await condition();
      }),
    async stop() {
      stopped = true;
      const running = [...children.values()].filter((child) =>
        child.endedAt === null
      );
      for (const child of running) {
        child.process.kill("SIGCONT");
        child.process.kill("SIGKILL");
      }
      await Promise.all(running.map((child) => child.ended));
    },
  };
}

function failIfEnded(child: Child | undefined): void {
  if (child === undefined || child.endedAt === null) return;
  const { exitCode, signalCode } = child.process;
  const message = [
    `ended too early (${exitCode ?? signalCode}): ${child.words.join(" ")}`,
    ...child.lines.slice(-lastLines),
  ].join("\n");
  throw new EndedTooEarly(message, child.endedAt);
}

/** Waits until a condition holds; fails after half a minute. */
export async function until(
  condition: () => Promise<boolean>,
): Promise<void> {
  const end = performance.now() + readyMilliseconds;
  while (!(await condition())) {
    if (performance.now() > end) throw new Error("the mesh did not get ready");
    await new Promise((resolve) => setTimeout(resolve, pollMilliseconds));
  }
}
