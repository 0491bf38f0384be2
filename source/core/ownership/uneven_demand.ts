/**
 * Which slices to move, and where, when servers have more load than capacity:
 * one key is much busier than others, or a run of neighbouring slices is.
 *
 * A move is planned only if the load that it removes above capacity, over the
 * time for which such demand lasts, is worth more requests than the move costs.
 *
 * @module
 */

/** Loads and capacities are in requests a second. */
export interface ServerDemand {
  readonly capacity: number;
  readonly mayReceive: boolean;
  /** Whether slices that move away are still to be released. */
  readonly emptying: boolean;
}

/** A slice, with the server that has it or is about to get it. */
export interface SliceDemand<Id> {
  readonly slice: number;
  readonly owner: Id;
  readonly load: number;
  readonly movable: boolean;
}

/** What the plan is made from. */
export interface Demand<Id> {
  readonly servers: ReadonlyMap<Id, ServerDemand>;
  readonly slices: readonly SliceDemand<Id>[];
  readonly maxMoves: number;
}

/** The move of one slice. */
export interface PlannedMove<Id> {
  readonly slice: number;
  readonly owner: Id;
  readonly destination: Id;
}

/** The moves for load above capacity. */
export interface ReliefPlan<Id> {
  readonly moves: readonly PlannedMove<Id>[];
  /** Servers that are being cleared for a busy slice. */
  readonly reserved: ReadonlySet<Id>;
  /** Slices that need more than a server has, with it or on their way to it. */
  readonly oversized: ReadonlySet<number>;
}

/** Busy keys are busy for 5 to 20 s; how much of it remains isn't known. */
const demandSeconds = 5;
/**
 * The requests that a move costs besides, as seconds of a mean slice's load:
 * entries with an older table are redirected.
 */
const moveCostSeconds = 1;
/** The time for which the requests of a slice wait while it is handed over. */
const handoverSeconds = 0.5;
/**
 * The share of its capacity to which a destination is filled, so that the slice
 * does not have to leave again when a measured weight falls a little.
 */
const maxFill = 0.9;
/**
 * A busy slice moves only if so much more of it is served, as a share of what is
 * served now. Measured weights of equal servers differ by less.
 */
const minServedGain = 0.2;
/** Two slices that take more than this share of a server don't fit into it. */
const largeShare = 0.5;
/** Of servers that serve nearly as much, the one with most room is chosen. */
const similarGain = 0.75;

/** The changing state of one plan. */
interface Draft<Id> {
  readonly demand: Demand<Id>;
  /** Load by server, as after the planned moves. */
  readonly loads: Map<Id, number>;
  /** Owner by slice, as after the planned moves. */
  readonly owners: Map<number, Id>;
  readonly reserved: Set<Id>;
  readonly oversized: Set<number>;
  readonly meanLoad: number;
}

/** Moves, and how many requests they are worth when all are made. */
interface Proposal<Id> {
  readonly draft: Draft<Id>;
  /** Moves of slices that need more than their servers have. */
  readonly busy: readonly PlannedMove<Id>[];
  readonly others: readonly PlannedMove<Id>[];
  readonly worth: number;
}

/** Plans the moves to start now. */
export function planRelief<Id>(demand: Demand<Id>): ReliefPlan<Id> {
  if (demand.maxMoves <= 0) {
    return { moves: [], reserved: new Set(), oversized: new Set() };
  }
  const { draft, busy, others } = bestProposal(demand);
  // Room for the busy slices is kept, so that they are not left behind.
  const first = others.slice(0, Math.max(0, demand.maxMoves - busy.length));
  // A busy slice follows once its server has been cleared as far as possible.
  const following = busy.filter(({ destination }) =>
    demand.servers.get(destination)?.emptying !== true &&
    !first.some(({ owner }) => owner === destination)
  );
  return {
    moves: [...following, ...first].slice(0, demand.maxMoves),
    reserved: draft.reserved,
    oversized: draft.oversized,
  };
}

/** Leaves out the moves of busy slices without which the plan is worth more. */
function bestProposal<Id>(demand: Demand<Id>): Proposal<Id> {
  let best = propose(demand);
  for (const { slice } of best.busy) {
    const slices = best.draft.demand.slices.map((entry) =>
      entry.slice === slice ? { ...entry, movable: false } : entry
    );
    const without = propose({ ...demand, slices });
    if (without.worth >= best.worth) best = without;
  }
  return best;
}

function propose<Id>(demand: Demand<Id>): Proposal<Id> {
  const draft = createDraft(demand);
  const before = totalExcess(draft);
  const loads = new Map(demand.slices.map(({ slice, load }) => [slice, load]));
  const busy = placeBusySlices(draft);
  const others = [...demand.servers.keys()]
    .toSorted((left, right) => excessOf(draft, right) - excessOf(draft, left))
    .flatMap((owner) => relieveServer(draft, owner));
  const cost = [...busy, ...others].reduce((sum, { slice, owner }) => {
    const served = Math.min(loads.get(slice) ?? 0, capacityOf(draft, owner));
    return sum + costOf(draft, served);
  }, 0);
  const worth = (before - totalExcess(draft)) * demandSeconds - cost;
  return { draft, busy, others, worth };
}

function totalExcess<Id>(draft: Draft<Id>): number {
  return [...draft.loads.keys()]
    .reduce((sum, id) => sum + excessOf(draft, id), 0);
}

function createDraft<Id>(demand: Demand<Id>): Draft<Id> {
  const loads = new Map([...demand.servers.keys()].map((id) => [id, 0]));
  let total = 0;
  for (const { owner, load } of demand.slices) {
    total += load;
    const sum = loads.get(owner);
    if (sum !== undefined) loads.set(owner, sum + load);
  }
  return {
    demand,
    loads,
    owners: new Map(demand.slices.map(({ slice, owner }) => [slice, owner])),
    reserved: new Set(),
    oversized: new Set(),
    meanLoad: total / Math.max(1, demand.slices.length),
  };
}

function capacityOf<Id>(draft: Draft<Id>, id: Id): number {
  return draft.demand.servers.get(id)?.capacity ?? 0;
}

function loadOf<Id>(draft: Draft<Id>, id: Id): number {
  return draft.loads.get(id) ?? 0;
}

function excessOf<Id>(draft: Draft<Id>, id: Id): number {
  return Math.max(0, loadOf(draft, id) - capacityOf(draft, id));
}

/** The load that a server takes before it is no longer a destination. */
function roomOf<Id>(draft: Draft<Id>, id: Id): number {
  return capacityOf(draft, id) * maxFill - loadOf(draft, id);
}

/** The cost of a move, in requests, if so many a second are served now. */
function costOf<Id>(draft: Draft<Id>, served: number): number {
  return draft.meanLoad * moveCostSeconds + served * handoverSeconds;
}

function applyMove<Id>(
  draft: Draft<Id>,
  move: {
    readonly slice: SliceDemand<Id>;
    readonly owner: Id;
    readonly destination: Id;
  },
): void {
  const { slice, owner, destination } = move;
  draft.loads.set(owner, loadOf(draft, owner) - slice.load);
  draft.loads.set(destination, loadOf(draft, destination) + slice.load);
  draft.owners.set(slice.slice, destination);
}

/**
 * Finds a server for each slice that needs more than its own has, the busiest
 * first. Its load then counts there, so that the other slices of that server
 * are moved away as load above capacity.
 */
function placeBusySlices<Id>(draft: Draft<Id>): readonly PlannedMove<Id>[] {
  const { servers, slices } = draft.demand;
  /** What busier slices leave of each server. */
  const left = new Map(
    [...servers].map(([id, server]) => [id, server.capacity]),
  );
  const large = slices
    .filter(({ owner, load }) => {
      const server = servers.get(owner);
      return server !== undefined && load > server.capacity * largeShare;
    })
    .toSorted((one, other) => other.load - one.load);
  return large.flatMap((slice) => {
    const { owner, load } = slice;
    const isOversized = load > (left.get(owner) ?? 0);
    const destination = isOversized && slice.movable
      ? bestServerFor(draft, { slice, left })
      : null;
    const home = destination ?? owner;
    left.set(home, Math.max(0, (left.get(home) ?? 0) - load));
    if (isOversized) draft.oversized.add(slice.slice);
    if (destination === null) return [];
    applyMove(draft, { slice, owner, destination });
    draft.reserved.add(destination);
    return [{ slice: slice.slice, owner, destination }];
  });
}

function bestServerFor<Id>(
  draft: Draft<Id>,
  query: {
    readonly slice: SliceDemand<Id>;
    readonly left: ReadonlyMap<Id, number>;
  },
): Id | null {
  const { owner, load } = query.slice;
  const servedBy = (id: Id) => Math.min(load, query.left.get(id) ?? 0);
  const candidates = [...draft.demand.servers]
    .filter(([id, server]) =>
      server.mayReceive && id !== owner && !draft.reserved.has(id)
    )
    .map(([id]) => ({ id, gain: servedBy(id) - servedBy(owner) }))
    .filter(({ gain }) => gain > minServedGain * servedBy(owner));
  const most = Math.max(...candidates.map(({ gain }) => gain));
  return candidates
    .filter(({ gain }) => gain >= most * similarGain)
    .toSorted((one, other) => roomOf(draft, other.id) - roomOf(draft, one.id))
    .at(0)?.id ?? null;
}

/** Moves slices off a server while it is above its capacity and it is worth it. */
function relieveServer<Id>(
  draft: Draft<Id>,
  owner: Id,
): readonly PlannedMove<Id>[] {
  const moves: PlannedMove<Id>[] = [];
  while (excessOf(draft, owner) > 0) {
    const destination = serverWithMostRoom(draft, owner);
    if (destination === null) break;
    const slice = mostWorthMoving(draft, { owner, destination });
    if (slice === null) break;
    applyMove(draft, { slice, owner, destination });
    moves.push({ slice: slice.slice, owner, destination });
  }
  return moves;
}

function serverWithMostRoom<Id>(draft: Draft<Id>, owner: Id): Id | null {
  let best: Id | null = null;
  for (const [id, server] of draft.demand.servers) {
    if (!server.mayReceive || id === owner || draft.reserved.has(id)) continue;
    const room = roomOf(draft, id);
    if (room <= 0) continue;
    if (best === null || room > roomOf(draft, best)) best = id;
  }
  return best;
}

function mostWorthMoving<Id>(
  draft: Draft<Id>,
  way: { readonly owner: Id; readonly destination: Id },
): SliceDemand<Id> | null {
  const { owner, destination } = way;
  const excess = excessOf(draft, owner);
  const room = roomOf(draft, destination);
  let best: SliceDemand<Id> | null = null;
  let mostWorth = 0;
  for (const slice of draft.demand.slices) {
    if (!slice.movable || slice.owner !== owner) continue;
    if (draft.owners.get(slice.slice) !== owner) continue;
    if (draft.oversized.has(slice.slice)) continue;
    const relief = Math.min(slice.load, excess) -
      Math.max(0, slice.load - room);
    const worth = relief * demandSeconds - costOf(draft, slice.load);
    if (worth > mostWorth) {
      best = slice;
      mostWorth = worth;
    }
  }
  return best;
}
