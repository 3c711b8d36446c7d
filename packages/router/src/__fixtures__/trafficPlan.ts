/** Describes the traffic of a virtual fleet: its services and their load. */
import type { FleetPlan } from '../membership/__fixtures__/virtualFleet.js';
import type { ColdStart } from '../records.js';

const MS_PER_S = 1_000;

/** A stream of requests of one kind. */
export interface VirtualLoad {
  readonly service: string;
  /** Requests per second. */
  readonly perS: number;
  /** Median of the log-normal service time at an endpoint with a free slot. */
  readonly workMs: number;
  /** Standard deviation of the logarithm of the service time. */
  readonly spread: number;
  /** Number of different prompts that requests share; 0 for requests without prompts. */
  readonly prompts: number;
  /** Share of the requests that go to the same prompt, the hot one. */
  readonly hotShare?: number;
  /** Share of the first attempts that fail and are retried. */
  readonly failShare?: number;
}

/** A service whose endpoints are distributed evenly over the halls. */
export interface VirtualService {
  readonly name: string;
  readonly endpoints: number;
  readonly slots: number;
  /** Load that an endpoint sustains until it has warmed up. */
  readonly coldStart?: ColdStart;
}

/** A virtual fleet with its services and their load. */
export interface TrafficPlan {
  readonly fleet: Omit<FleetPlan, 'createProgram'>;
  readonly services: readonly VirtualService[];
  readonly loads: readonly VirtualLoad[];
  /** Whether boxes send less to slow endpoints; absent for no. */
  readonly isPaceWeighted?: boolean;
  /** Whether endpoints report their pace; absent for no. */
  readonly isPaceReported?: boolean;
}

/** Returns the highest number of timestamps within any one second. The timestamps are in ascending order. */
export function countMaxWithinSecond(timestampsMs: readonly number[]): number {
  let max = 0;
  let begin = 0;
  timestampsMs.forEach((atMs, end) => {
    while (atMs - (timestampsMs[begin] ?? atMs) >= MS_PER_S) begin += 1;
    max = Math.max(max, end - begin + 1);
  });
  return max;
}
