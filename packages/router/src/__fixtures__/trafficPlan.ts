/** What a virtual fleet serves, and how what came is counted. */
import type { FleetPlan } from '../membership/__fixtures__/virtualFleet.js';
import type { ColdStart } from '../records.js';

const MS_PER_S = 1_000;

/** One kind of request. */
export interface VirtualLoad {
  readonly service: string;
  readonly perS: number;
  /** Median time at an endpoint that has a free slot, and the deviation of its logarithm. */
  readonly workMs: number;
  readonly spread: number;
  /** Different prompts that requests share; 0 for requests without prompts. */
  readonly prompts: number;
  /** Share of the requests that are for one prompt. */
  readonly hotShare?: number;
  /** Share of the first attempts that fail and are sent again. */
  readonly failShare?: number;
}

/** Endpoints of a service, spread evenly over the halls. */
export interface VirtualService {
  readonly name: string;
  readonly endpoints: number;
  readonly slots: number;
  /** What one bears until it has warmed up. */
  readonly coldStart?: ColdStart;
}

/** What a fleet serves. */
export interface TrafficPlan {
  readonly fleet: Omit<FleetPlan, 'createProgram'>;
  readonly services: readonly VirtualService[];
  readonly loads: readonly VirtualLoad[];
}

/** The most of some moments, in their order, that lie within a second. */
export function countMost(momentsMs: readonly number[]): number {
  let most = 0;
  let begin = 0;
  momentsMs.forEach((atMs, end) => {
    while (atMs - (momentsMs[begin] ?? atMs) >= MS_PER_S) begin += 1;
    most = Math.max(most, end - begin + 1);
  });
  return most;
}
