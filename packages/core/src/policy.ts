/**
 * How engines are chosen. `steward` is what ships; the others are baselines that are measured beside it.
 */
export type RoutingPolicy =
  /** Every request of an endpoint passes through one box, which counts exactly. */
  | { readonly type: 'steward' }
  /** Each box decides alone: rendezvous order, its own counts and late reports. */
  | { readonly type: 'local' }
  /** Each box takes the less loaded of a few random engines by late reports. */
  | { readonly type: 'leastLoaded'; readonly choices: number }
  /** Each box takes the engines in turn. */
  | { readonly type: 'roundRobin' };

/** Names of the policies, as settings and tools spell them. */
export const POLICY_NAMES = ['roundRobin', 'local', 'leastLoaded', 'steward'] as const;
/** Name of a policy. */
export type PolicyName = (typeof POLICY_NAMES)[number];

const POWER_OF_TWO = 2;

/**
 * Returns the policy of that name with its usual parameters.
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
      return { type: 'leastLoaded', choices: POWER_OF_TWO };
  }
}
