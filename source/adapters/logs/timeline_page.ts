/**
 * Renders a time line as one self-contained HTML page with an SVG diagram.
 *
 * @module
 */
import type { TimelineEvent } from "../../ports/events.ts";

const laneHeight = 26;
const labelWidth = 220;
const stepWidth = 9;
const colours: Readonly<Record<string, string>> = {
  grant: "#2a7f62",
  loss: "#b3261e",
  request: "#5f6b7a",
  document: "#6750a4",
  other: "#1f6feb",
};

function categoryOf(event: TimelineEvent): keyof typeof colours {
  if (event.kind.startsWith("request-")) return "request";
  if (/lapsed|lost|ended|unavailable|stopp|stale/.test(event.kind)) {
    return "loss";
  }
  if (/grant|slice|epoch|move|checkpoint|lease/.test(event.kind)) {
    return "grant";
  }
  if (/revision|section|configuration/.test(event.kind)) return "document";
  return "other";
}

/** Above this number, events of requests are left out: they would hide others. */
const maxRequestEvents = 400;

/** Consecutive events of one agent and kind, shown as one. */
interface EventRun extends TimelineEvent {
  readonly count: number;
}

function collapse(events: readonly TimelineEvent[]): readonly EventRun[] {
  const runs: EventRun[] = [];
  for (const event of events) {
    const last = runs.at(-1);
    if (last?.agent === event.agent && last.kind === event.kind) {
      runs[runs.length - 1] = { ...last, count: last.count + 1 };
    } else runs.push({ ...event, count: 1 });
  }
  return runs;
}

/** Renders events, which must be sorted, as an HTML page. */
export function timelinePage(all: readonly TimelineEvent[]): string {
  const requests = all.filter((event) => event.kind.startsWith("request-"));
  const omitted = requests.length > maxRequestEvents ? requests.length : 0;
  const shown = omitted === 0
    ? all
    : all.filter((event) => !event.kind.startsWith("request-"));
  const note = omitted === 0
    ? ""
    : ` ${omitted} events of requests are left out; --request shows one request.`;
  return drawPage(collapse(shown), note);
}

function drawPage(events: readonly EventRun[], note: string): string {
  const lanes = [...new Set(events.map((event) => event.agent))].sort();
  const width = labelWidth + (events.length + 2) * stepWidth;
  const height = (lanes.length + 1) * laneHeight;
  const labels = lanes.map((lane, index) =>
    `<text x="4" y="${(index + 1) * laneHeight + 4}">${escape(lane)}</text>` +
    `<line x1="${labelWidth}" x2="${width}" y1="${(index + 1) * laneHeight}" ` +
    `y2="${(index + 1) * laneHeight}" stroke="#d0d7de"/>`
  );
  const dots = events.map((event, index) => {
    const x = labelWidth + (index + 1) * stepWidth;
    const y = (lanes.indexOf(event.agent) + 1) * laneHeight;
    return `<circle cx="${x}" cy="${y}" r="4" fill="${
      colours[categoryOf(event)]
    }"><title>${escape(describe(event))}</title></circle>`;
  });
  const rows = events.map((event) =>
    `<tr><td>${event.logicalTime}</td><td>${
      new Date(event.wallTime).toISOString()
    }</td><td>${escape(event.agent)}</td><td style="color:${
      colours[categoryOf(event)]
    }">${escape(event.kind)}</td><td>${escape(detailOf(event))}</td></tr>`
  );
  return [
    '<!doctype html><html lang="en"><meta charset="utf-8">',
    "<title>geraniumledge time line</title>",
    "<style>body{font:14px system-ui;margin:1rem}td{padding:2px 8px;" +
    "border-bottom:1px solid #eaeef2;vertical-align:top}" +
    "th{text-align:left;padding:2px 8px}.picture{overflow-x:auto}" +
    "svg text{font:12px system-ui}</style>",
    "<h1>Time line</h1>",
    `<p>${events.length} events of ${lanes.length} agents, causes before ` +
    "effects. Green: grants; red: losses and ends; violet: document; grey: " +
    "requests; blue: other. Point at a dot to read it.",
    `${note}</p>`,
    `<div class="picture"><svg width="${width}" height="${height}">`,
    ...labels,
    ...dots,
    "</svg></div>",
    "<table><thead><tr><th>logical</th><th>wall clock</th><th>agent</th>" +
    "<th>event</th><th>detail</th></tr></thead><tbody>",
    ...rows,
    "</tbody></table></html>",
  ].join("\n");
}

function describe(event: EventRun): string {
  return `${event.agent} ${event.kind} ${detailOf(event)}`;
}

function detailOf(event: EventRun): string {
  const more = event.count === 1 ? "" : ` (and ${event.count - 1} more)`;
  return Object.entries(event.detail)
    .map(([name, value]) => `${name}=${value}`)
    .join(" ") + more;
}

function escape(text: string): string {
  return text.replaceAll("&", "&amp;").replaceAll("<", "&lt;")
    .replaceAll(">", "&gt;").replaceAll('"', "&quot;");
}
