/**
 * Settings of an agent: flags and environment variables, all checked at
 * start, every fault reported at once.
 *
 * @module
 */
import { Result } from "true-myth";
import { z } from "zod";

/** The settings of one agent; durations are in milliseconds. */
export interface AgentSettings {
  readonly host: string;
  readonly dataCenter: string;
  readonly region: string;
  readonly service: string;
  readonly listen: Listener;
  readonly peerListen: Listener;
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
  readonly logLevel: "debug" | "info" | "warn" | "error";
}

/** An address to listen on. */
export interface Listener {
  readonly host: string;
  readonly port: number;
}

/** One setting, as help and checks show it. */
export interface SettingDescription {
  readonly name: keyof AgentSettings;
  readonly flag: string;
  readonly variable: string;
  readonly placeholder: string;
  readonly text: string;
  readonly usual: string | null;
  readonly schema: z.ZodType;
}

const name = z.string().regex(
  /^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/,
  "must be letters, digits, dots, underscores and hyphens, 63 at most",
);

const addressPattern =
  /^(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):(\d{1,5})$/;
const addressFault = "must be an IP number and a port, such as 10.0.0.7:8080";

const address = z.string().regex(addressPattern, addressFault).refine(
  (text) => Number(addressPattern.exec(text)?.[2]) <= 65_535,
  "has a port above 65535",
);

const listener = address.transform((text): Listener => {
  const [, host = "", port = "0"] = addressPattern.exec(text) ?? [];
  return { host: host.replace(/^\[|\]$/g, ""), port: Number(port) };
});

function whole(limits: { readonly least: number; readonly most: number }) {
  const { least, most } = limits;
  return z.string()
    .regex(/^\d{1,12}$/, "must be a whole number")
    .transform(Number)
    .refine(
      (value) => value >= least && value <= most,
      `must be from ${least} to ${most}`,
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

type Row = readonly [
  keyof AgentSettings,
  string,
  string,
  string | null,
  z.ZodType,
];

const rows: readonly Row[] = [
  ["host", "name", "name of this host, the same after a restart", null, name],
  ["dataCenter", "name", "data centre of this host", null, name],
  ["region", "name", "region of the data centre", null, name],
  ["service", "name", "service that the target belongs to", null, name],
  ["listen", "ip:port", "where callers connect", null, listener],
  [
    "peerListen",
    "ip:port",
    "where agents and operators connect",
    null,
    listener,
  ],
  ["target", "ip:port", "the target beside this agent", null, address],
  [
    "slots",
    "number",
    "requests that the target runs at one time",
    "8",
    whole({ least: 1, most: 100_000 }),
  ],
  [
    "checksFencing",
    "true|false",
    "whether the target refuses stale fencing tokens",
    "false",
    boolean,
  ],
  ["store", "origin", "the platform's object store", null, origin],
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
    "how long a server may serve without renewal",
    "3s",
    duration,
  ],
  ["renewal", "duration", "time between renewals", "1s", duration],
  [
    "margin",
    "duration",
    "how much early a holder's lease ends",
    "200ms",
    duration,
  ],
  [
    "delegation",
    "duration",
    "how long grants go on while the store is down",
    "10m",
    duration,
  ],
  [
    "exchange",
    "duration",
    "time between exchanges with other agents",
    "500ms",
    duration,
  ],
  [
    "callTimeout",
    "duration",
    "longest wait for another agent",
    "300ms",
    duration,
  ],
  ["storeTimeout", "duration", "longest wait for the store", "1s", duration],
  [
    "drainTimeout",
    "duration",
    "longest time that a planned stop waits",
    "30s",
    duration,
  ],
  [
    "longestHeaders",
    "bytes",
    "longest header fields of a request",
    "16384",
    whole({ least: 1_024, most: 1_048_576 }),
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

/** All settings in the order of the help. */
export const agentSettings: readonly SettingDescription[] = rows.map(
  ([name, placeholder, text, usual, schema]) => ({
    name,
    flag: name.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`),
    variable: "GERANIUMLEDGE_" +
      name.replace(/[A-Z]/g, (letter) => `_${letter}`).toUpperCase(),
    placeholder,
    text,
    usual,
    schema,
  }),
);

/** Reads all settings; a flag goes before its variable. */
export function readSettings(
  flags: Readonly<Record<string, unknown>>,
  environment: Readonly<Record<string, string | undefined>>,
): Result<AgentSettings, readonly string[]> {
  const faults: string[] = [];
  const values: Record<string, unknown> = {};
  for (const setting of agentSettings) {
    const flag = flags[setting.name];
    const text = flag === undefined
      ? environment[setting.variable] ?? setting.usual
      : String(flag);
    const label = `--${setting.flag} (${setting.variable})`;
    if (text === null) {
      faults.push(`${label} is missing: ${setting.text}`);
      continue;
    }
    const parsed = setting.schema.safeParse(text);
    if (parsed.success) values[setting.name] = parsed.data;
    else {faults.push(
        `${label} ${parsed.error.issues[0]?.message ?? "is wrong"}`,
      );}
  }
  const known = new Set(agentSettings.map((setting) => setting.variable));
  for (const variable of Object.keys(environment)) {
    if (!variable.startsWith("GERANIUMLEDGE_") || known.has(variable)) continue;
    faults.push(`${variable} is no setting; see geraniumledge agent --help`);
  }
  if (faults.length > 0) return Result.err(faults);
  // Every name of the interface has a row, and its schema gives its type.
  const settings = values as unknown as AgentSettings;
  const conflicts = checkTogether(settings);
  return conflicts.length > 0 ? Result.err(conflicts) : Result.ok(settings);
}

function checkTogether(settings: AgentSettings): readonly string[] {
  const faults: string[] = [];
  if (settings.renewal * 2 + settings.margin > settings.lease) {
    faults.push(
      "--lease must be at least twice --renewal and --margin on top",
    );
  }
  if (settings.delegation < 4 * settings.lease) {
    faults.push("--delegation must be at least four times --lease");
  }
  return faults;
}
