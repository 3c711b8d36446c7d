/**
 * Policies for choosing engines. `steward` is the default; the others are baselines for measurements.
 */
export type RoutingPolicy =
  /** All requests to an endpoint go through one box, its owner, which therefore has an exact count. */
  | { readonly type: 'steward' }
  /** Each box decides on its own by rendezvous order, its own counts and stale load reports. */
  | { readonly type: 'local' }
  /** Each box takes the least loaded of a few random engines, by stale load reports. */
  | { readonly type: 'leastLoaded'; readonly choices: number }
  /** Each box rotates through the engines. */
  | { readonly type: 'roundRobin' };

/** Names of the policies, as written in settings and on command lines. */
export const POLICY_NAMES = ['roundRobin', 'local', 'leastLoaded', 'steward'] as const;
/** Name of a policy. */
export type PolicyName = (typeof POLICY_NAMES)[number];

const POWER_OF_TWO_CHOICES = 2;

/**
 * Creates the policy of the given name with its default parameters.
 *
 * @example createPolicy('leastLoaded') // { type: 'leastLoaded', choices: 2 }
 */
export function createPolicy(name: PolicyName): RoutingPolicy {
  switch (name) {
    case 'steward':
    case 'local':
    case 'roundRobin':
      return { type: name };
    case 'leastLoaded':
      return { type: 'leastLoaded', choices: POWER_OF_TWO_CHOICES };
  }
}
