/**
 * Settings of an agent, read from flags and environment variables. All are
 * validated at start, and the faults are reported together.
 *
 * @module
 */
import { Result } from "true-myth";
import { z } from "zod";

/**
 * The settings of one agent. Durations are in milliseconds, sizes in bytes.
 * The name of each property determines its flag and its variable.
 */
export interface AgentSettings {
  readonly host: string;
  readonly dataCenter: string;
  readonly region: string;
  readonly service: string;
  readonly listen: ListenAddress;
  readonly peerListen: ListenAddress;
  readonly target: string;
  readonly slots: number;
  readonly checksFencing: boolean;
  readonly store: string;
  readonly seeds: readonly string[];
  readonly lease: number;
  readonly renewal: number;
  readonly margin: number;
  readonly delegation: number;
  readonly exchange: number;
  readonly callTimeout: number;
  readonly storeTimeout: number;
  readonly drainTimeout: number;
  readonly longestHeaders: number;
  /** Memory of the machine, in megabytes. */
  readonly memory: number;
  readonly descriptors: number;
  readonly unreadTimeout: number;
  readonly logLevel: "debug" | "info" | "warn" | "error";
}

/** An IP address, without brackets, and a port to listen on. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** One setting: how it is named, explained and validated. */
export interface SettingDescription {
  readonly name: keyof AgentSettings;
  readonly flag: string;
  readonly variable: string;
  readonly placeholder: string;
  /** What the setting means, for the help. */
  readonly text: string;
  /** The default as a user would write it; null if there is none. */
  readonly defaultText: string | null;
  readonly schema: z.ZodType;
}

const name = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
  "must be letters, digits, dots, underscores and hyphens, at most 63 characters",
);

const addressPattern =
  /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;
const addressMessage = "must be an IP number and a port, such as 10.0.0.7:8080";

const address = z.string().regex(addressPattern, addressMessage).refine(
  (text) => Number(addressPattern.exec(text)?.[2]) <= 65_535,
  "has a port above 65535",
);

const listenAddress = address.transform((text): ListenAddress => {
  const [, host = "", port = "0"] = addressPattern.exec(text) ?? [];
  return { host: host.replace(/^\[|\]$/g, ""), port: Number(port) };
});

function wholeNumber(limits: { readonly min: number; readonly max: number }) {
  const { min, max } = limits;
  return z.string()
    .regex(/^\d{1,12}$/, "must be a whole number")
    .transform(Number)
    .refine(
      (value) => value >= min && value <= max,
      `must be from ${min} to ${max}`,
    );
}

const duration = z.string()
  .regex(/^\d{1,8}(ms|s|m|h)$/, 'must be a duration such as "250ms" or "3s"')
  .transform(durationMilliseconds)
  .refine((value) => value > 0, "must be above 0");

function durationMilliseconds(text: string): number {
  const [, digits = "0", unit = "ms"] = /^(\d+)(\w+)$/.exec(text) ?? [];
  const units: Readonly<Record<string, number>> = {
    ms: 1,
    s: 1_000,
    m: 60_000,
    h: 3_600_000,
  };
  return Number(digits) * (units[unit] ?? 1);
}

const boolean = z.enum(["true", "false"], "must be true or false")
  .transform((text) => text === "true");

const addresses = z.string().transform((text) =>
  text.split(",").map((part) => part.trim()).filter((part) => part !== "")
).pipe(z.array(address));

const origin = z.string().regex(
  /^https?:\/\/[^/\s]+$/,
  "must be an origin such as http://10.0.0.1:7000, without a path",
);

type SettingRow = readonly [
  keyof AgentSettings,
  string,
  string,
  string | null,
  z.ZodType,
];

const rows: readonly SettingRow[] = [
  ["host", "name", "name of this host, the same after a restart", null, name],
  ["dataCenter", "name", "data centre of this host", null, name],
  ["region", "name", "region of the data centre", null, name],
  ["service", "name", "service that the target belongs to", null, name],
  [
    "listen",
    "ip:port",
    "address on which callers connect",
    null,
    listenAddress,
  ],
  [
    "peerListen",
    "ip:port",
    "address on which other agents and operators connect",
    null,
    listenAddress,
  ],
  [
    "target",
    "ip:port",
    "address of the target that this agent serves",
    null,
    address,
  ],
  [
    "slots",
    "number",
    "number of requests that the target runs at one time",
    "8",
    wholeNumber({ min: 1, max: 100_000 }),
  ],
  [
    "checksFencing",
    "true|false",
    "whether the target refuses stale fencing tokens",
    "false",
    boolean,
  ],
  ["store", "origin", "URL of the platform's object store", null, origin],
  [
    "seeds",
    "ip:port,...",
    "peer addresses of some other agents",
    "",
    addresses,
  ],
  [
    "lease",
    "duration",
    "how long a server may serve without renewing its lease",
    "3s",
    duration,
  ],
  ["renewal", "duration", "interval between lease renewals", "1s", duration],
  [
    "margin",
    "duration",
    "how much earlier a lease ends at its holder than at its grantor",
    "200ms",
    duration,
  ],
  [
    "delegation",
    "duration",
    "how long slices are granted while the store is unavailable",
    "10m",
    duration,
  ],
  [
    "exchange",
    "duration",
    "interval between gossip exchanges with other agents",
    "500ms",
    duration,
  ],
  [
    "callTimeout",
    "duration",
    "timeout of calls to other agents",
    "300ms",
    duration,
  ],
  ["storeTimeout", "duration", "timeout of calls to the store", "1s", duration],
  [
    "drainTimeout",
    "duration",
    "maximum time that a planned stop waits",
    "30s",
    duration,
  ],
  [
    "longestHeaders",
    "bytes",
    "maximum size of the header fields of a request",
    "16384",
    wholeNumber({ min: 1_024, max: 1_048_576 }),
  ],
  [
    "memory",
    "megabytes",
    "memory of the machine that this process may use",
    "4096",
    wholeNumber({ min: 64, max: 1_048_576 }),
  ],
  [
    "descriptors",
    "number",
    "number of file descriptors that this process may have",
    "65536",
    wholeNumber({ min: 400, max: 1_048_576 }),
  ],
  [
    "unreadTimeout",
    "duration",
    "how long a caller may read nothing of an answer that waits for it",
    "10m",
    duration,
  ],
  [
    "logLevel",
    "level",
    "debug, info, warn or error",
    "info",
    z.enum(
      ["debug", "info", "warn", "error"],
      "must be debug, info, warn or error",
    ),
  ],
];

/** All settings, in the order in which the help lists them. */
export const agentSettings: readonly SettingDescription[] = rows.map(
  ([name, placeholder, text, defaultText, schema]) => ({
    name,
    flag: name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`),
    variable: "GERANIUMLEDGE_" +
      name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase(),
    placeholder,
    text,
    defaultText,
    schema,
  }),
);

/**
 * Reads and validates all settings. A flag takes precedence over its variable,
 * and the variable over the default. Unknown variables that begin with
 * `GERANIUMLEDGE_` are faults. The error holds one text for each fault; rules
 * that involve several settings are checked once each of them is valid.
 */
export function readSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<AgentSettings, readonly string[]> {
  const faults: string[] = [];
  const values: Record<string, unknown> = {};
  for (const setting of agentSettings) {
    const flag = flags[setting.name];
    const text = flag === undefined
      ? environment[setting.variable] ?? setting.defaultText
      : String(flag);
    const label = `--${setting.flag} (${setting.variable})`;
    if (text === null) {
      faults.push(`${label} is missing: ${setting.text}`);
      continue;
    }
    const parsed = setting.schema.safeParse(text);
    if (parsed.success) values[setting.name] = parsed.data;
    else {faults.push(
        `${label} ${parsed.error.issues[0]?.message ?? "is invalid"}`,
      );}
  }
  const known = new Set(agentSettings.map((setting) => setting.variable));
  for (const variable of Object.keys(environment)) {
    if (!variable.startsWith("GERANIUMLEDGE_") || known.has(variable)) continue;
    faults.push(
      `${variable} is not a known setting; see geraniumledge agent --help`,
    );
  }
  if (faults.length > 0) return Result.err(faults);
  // Each property of AgentSettings has a row, whose schema yields its type.
  const settings = values as unknown as AgentSettings;
  const conflicts = findConflicts(settings);
  return conflicts.length > 0 ? Result.err(conflicts) : Result.ok(settings);
}

/** Checks the rules that involve more than one setting. */
function findConflicts(settings: AgentSettings): readonly string[] {
  const faults: string[] = [];
  if (settings.renewal * 2 + settings.margin > settings.lease) {
    faults.push(
      "--lease must be at least twice --renewal plus --margin",
    );
  }
  if (settings.delegation < 4 * settings.lease) {
    faults.push("--delegation must be at least four times --lease");
  }
  return faults;
}
