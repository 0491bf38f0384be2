/**
 * The platform's object store, as the system needs it: versioned objects,
 * conditional writes and a watch.
 *
 * @module
 */
import type { Result } from "true-myth";
import type { Acceptance } from "../core/document/document.ts";
import type { Delegation } from "../core/ownership/delegation.ts";

/** Why a store call failed. */
export type StoreFault =
  /** The object has another version than the write expected. */
  | { readonly kind: "conflict" }
  /** The call surely had no effect. */
  | { readonly kind: "refused"; readonly detail: string }
  /** The call may have had an effect, or may have it still. */
  | { readonly kind: "uncertain"; readonly detail: string };

/** A value and the version that the store gave it. */
export interface Versioned<Value> {
  readonly value: Value;
  readonly version: string;
}

/** Objects of one kind. */
export interface Repository<Value> {
  /** Reads an object; null when there is none. */
  read(name: string): Promise<Result<Versioned<Value> | null, StoreFault>>;
  /**
   * Writes an object on condition that it still has this version, or, with
   * null, that it does not exist. Brings the new version.
   */
  write(
    name: string,
    value: Value,
    options: { readonly version: string | null },
  ): Promise<Result<string, StoreFault>>;
}

/** The operators' document as the store keeps it. */
export interface StoredDocument {
  readonly text: string;
  /** Who wrote it last, for the other side of a conflict to read. */
  readonly author: string;
}

/** What the store says of an accepted revision, for operators' own tools. */
export interface StoredStatus {
  readonly revision: number;
  readonly inForce: number;
  readonly agents: number;
  readonly missing: readonly string[];
}

/** Agents that a newcomer can ask for all others. */
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
   * Resolves when a document or an acceptance changed since the last call, or
   * the wait ended. At most one call of the store waits at a time.
   */
  awaitChange(options: {
    readonly maxWaitMilliseconds: number;
  }): Promise<Result<null, StoreFault>>;
}

/** The name of the one document and the one acceptance. */
export const mainObjectName = "main";
