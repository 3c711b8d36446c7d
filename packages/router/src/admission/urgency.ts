/**
 * Urgency of requests. Operators give priorities to routes and teams; together they rank the requests of a service. A
 * route or team without a priority comes after all that have one: naming what is urgent is enough.
 */

/** Least urgent value that endpoints accept for their own queue. */
const MAX_ENDPOINT_URGENCY = 9;

/** Stands for a priority that is not given: less urgent than any that is. */
const NO_PRIORITY = Infinity;

/** Ranks the requests of one service: by the priority of the team, then by that of the route. */
export class UrgencyRanking {
  private readonly routePriorities: readonly number[];
  private readonly teamPriorities: readonly number[];

  /**
   * @param routePriorities of the routes to the service, undefined where a route has none
   * @param teamPriorities of all teams, undefined where a team has none
   */
  constructor(
    routePriorities: Iterable<number | undefined>,
    teamPriorities: Iterable<number | undefined> = [],
  ) {
    this.routePriorities = sortPriorities(routePriorities);
    this.teamPriorities = sortPriorities(teamPriorities);
  }

  /** Number of ranks within the service. */
  get rankCount(): number {
    return this.teamPriorities.length * this.routePriorities.length;
  }

  /**
   * Rank of a request; 0 is the most urgent.
   *
   * @example new UrgencyRanking([0, 2], [1, 5]).readRank(0, 5) // 2: after both routes of the more urgent team
   */
  readRank(routePriority: number | undefined, teamPriority: number | undefined): number {
    const { routePriorities, teamPriorities } = this;
    const teamPosition = findPosition(teamPriorities, teamPriority);
    return teamPosition * routePriorities.length + findPosition(routePriorities, routePriority);
  }
}

/** Distinct priorities, the most urgent first; at least one. */
function sortPriorities(priorities: Iterable<number | undefined>): readonly number[] {
  const distinct = new Set([...priorities].map((priority) => priority ?? NO_PRIORITY));
  return distinct.size === 0 ? [NO_PRIORITY] : [...distinct].sort((a, b) => a - b);
}

/** Position of a priority; a request without a team counts among the least urgent. */
function findPosition(priorities: readonly number[], priority = NO_PRIORITY): number {
  const position = priorities.indexOf(priority);
  return position < 0 ? priorities.length - 1 : position;
}

/**
 * Urgency of a request for its endpoint, 0 to 9. Ranks are spread over the whole range: endpoints put requests without
 * an urgency, as boxes of an earlier version send them, in its middle. Undefined if the service has one rank only.
 *
 * @example readEndpointUrgency(1, 3) // 5
 */
export function readEndpointUrgency(rank: number, rankCount: number): number | undefined {
  if (rankCount < 2) return undefined;
  return Math.round((rank * MAX_ENDPOINT_URGENCY) / (rankCount - 1));
}
