/**
 * The platform's object store: versioned objects, conditional writes and a
 * watch.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Acceptance } from "../core/document/document.ts";
import type { Delegation } from "../core/ownership/delegation.ts";

/** Why a store call failed. */
export type StoreFault =
  /** The object's version is not the one that the write expected. */
  | { readonly kind: "conflict" }
  /** The call definitely had no effect. */
  | { readonly kind: "refused"; readonly detail: string }
  /** The call may have had an effect, or may still have one later. */
  | { readonly kind: "uncertain"; readonly detail: string };

/** A value and the version that the store assigned to it. */
export interface Versioned<Value> {
  readonly value: Value;
  readonly version: string;
  /**
   * The era of the store in which it was read; left out for era 0. When the
   * store goes back to an older copy, its era rises, and it assigns versions
   * again that it had assigned before.
   */
  readonly era?: number | undefined;
}

/** Objects of one kind. */
export interface Repository<Value> {
  /** Reads an object; null when there is none. */
  read(name: string): Promise<Result<Versioned<Value> | null, StoreFault>>;
  /**
   * Writes an object if it still has `version` or, with null, if it does not
   * exist. Returns the new version. A write that the store answers in another
   * era than `era` fails as a conflict, though it may have taken effect: the
   * version may be that of another object's state.
   */
  write(
    name: string,
    value: Value,
    options: {
      readonly version: string | null;
      /** Not compared if left out. */
      readonly era?: number | undefined;
    },
  ): Promise<Result<string, StoreFault>>;
}

/** The operators' document as it is stored. */
export interface StoredDocument {
  readonly text: string;
  /** Who wrote it last, shown to an author whose write conflicts with it. */
  readonly author: string;
}

/** The rollout status of an accepted revision, read by operators' tools. */
export interface StoredStatus {
  readonly revision: number;
  /** The number of agents that apply the revision. */
  readonly inForce: number;
  /** The number of all agents. */
  readonly agents: number;
  /** Hosts that did not answer or do not apply the revision yet. */
  readonly missing: readonly string[];
}

/** Peer addresses that a starting agent asks for all other agents. */
export interface StoredSeeds {
  readonly addresses: readonly string[];
}

/** The store. */
export interface Store {
  readonly documents: Repository<StoredDocument>;
  readonly acceptances: Repository<Acceptance>;
  readonly delegations: Repository<Delegation>;
  readonly statuses: Repository<StoredStatus>;
  readonly seeds: Repository<StoredSeeds>;
  /**
   * Resolves when a document or an acceptance has changed since the last call,
   * or after `maxWaitMilliseconds`. Only one such call may wait at a time.
   */
  awaitChange(options: {
    readonly maxWaitMilliseconds: number;
  }): Promise<Result<null, StoreFault>>;
}

/** The object name of the only document, acceptance, status and seed list. */
export const mainObjectName = "main";
