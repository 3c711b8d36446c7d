/**
 * Weighted fair queueing of the teams that wait, by start time and with equal weights. A team is served next if its
 * virtual start is the least; a service moves it by one. A team that was idle starts at the virtual time of those that
 * waited, so that it gains nothing from having been idle; what it leaves unused goes to the others.
 */

/** Order in which the teams of one queue are served. */
export class FairShares {
  private virtualTime = 0;
  /** Virtual start of the next service of each team that waits. */
  private readonly starts = new Map<string, number>();
  /** Virtual end of the last service of each team since the queue was empty. */
  private readonly ends = new Map<string, number>();

  /** Adds a team that begins to wait. */
  join(team: string): void {
    this.starts.set(team, Math.max(this.virtualTime, this.ends.get(team) ?? 0));
  }

  /** Removes a team that has nothing left that waits. */
  leave(team: string): void {
    this.starts.delete(team);
    if (this.starts.size === 0) this.ends.clear();
  }

  /** Charges a team for one service. */
  charge(team: string): void {
    const start = this.starts.get(team) ?? this.virtualTime;
    this.virtualTime = Math.max(this.virtualTime, start);
    this.ends.set(team, start + 1);
    if (this.starts.has(team)) this.starts.set(team, start + 1);
  }

  /**
   * Lists the teams that wait, the next one to be served first.
   *
   * @example shares.listInTurn() // ['quiet', 'busy']
   */
  listInTurn(): string[] {
    return [...this.starts].sort(([, one], [, other]) => one - other).map(([team]) => team);
  }
}
