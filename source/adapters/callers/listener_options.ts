/**
 * What an HTTP listener for callers or agents needs.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { AgentId } from "../../core/agent.ts";
import type { Configuration } from "../../core/document/document.ts";
import type { Failure } from "../../core/request/outcome.ts";
import type { Body, ProxyAnswer, ProxyRequest } from "../../ports/upstream.ts";
import type { PageContent } from "./answer_writer.ts";
import type { CallerProtocol } from "./caller_protocol.ts";
import type { CallerLoadOptions } from "./caller_load.ts";
import type { AbandonedRequest } from "../hops/request_start.ts";
import type { ArrivalReport, MeasureTransitDelay } from "../hops/transit.ts";
import type { LogicalClock } from "../logs/logical_clock.ts";
import type { PendingInputGate } from "./pending_input.ts";

/** Handles a request until it has an answer or has failed. */
export type HandleRequest = (
  request: ProxyRequest,
  options: { readonly body: Body },
) => Promise<Result<ProxyAnswer, Failure>>;

/** Whose requests a listener accepts. */
export type ListenerKind = "callers" | "agents";

/** Renders a page for operators. */
export type OperatorPage = () => Promise<PageContent>;

/** Options of {@link openHttpListener}. */
export interface HttpListenerOptions {
  /** Id of the agent of this process. */
  readonly agent: AgentId;
  readonly kind: ListenerKind;
  readonly host: string;
  readonly port: number;
  readonly configuration: () => Configuration;
  readonly handle: HandleRequest;
  /** Pages for operators, by path. */
  readonly pages: ReadonlyMap<string, OperatorPage>;
  /** The monotonic clock, in milliseconds. */
  readonly now: () => number;
  /** Measures the transit delay of requests forwarded by other agents. */
  readonly measureTransitDelay: MeasureTransitDelay;
  /** Called for each request that was received completely from another agent. */
  readonly onArrival: (note: ArrivalReport) => void;
  /** Delays new work until pending socket input has been read. */
  readonly pendingInput: PendingInputGate;
  /** Called for each request whose caller had left before it was started. */
  readonly onAbandoned: (note: AbandonedRequest) => void;
  /** Orders events by cause and effect across agents. */
  readonly clock: LogicalClock;
  /** Upper bound of the header fields of a request, in bytes. */
  readonly maxHeaderBytes: number;
  /** Protocol of the callers; defaults to the product's own. */
  readonly callerProtocol?: CallerProtocol;
  /** Bodies up to this size are buffered, so that they can be sent again. */
  readonly maxRetainedBodyBytes?: number;
  /** Bounds what callers make this process hold; when left out, nothing does. */
  readonly callerLoad?: CallerLoadOptions;
}
