/** Recent admissions of a service by team, from which teams that use more than their fair share are known. */

/** Time in which an admission is forgotten: a burst of a team counts against it, its traffic of a minute ago does not. */
const FADE_MS = 5_000;
/** Teams with fewer admissions than this are no longer counted as active. */
const FORGOTTEN_ADMISSIONS = 0.05;
/** Admissions over the fair share that are ignored: a team with one request at a box is not above it. */
const SLACK = 1;

/** Counts the admissions of one service at one box. */
export class TeamAdmissions {
  private readonly byTeam = new Map<string, number>();
  private total = 0;
  private fadedAtMs = -Infinity;

  /** Counts an admission. */
  record(team: string): void {
    this.byTeam.set(team, (this.byTeam.get(team) ?? 0) + 1);
    this.total += 1;
  }

  /** Forgets admissions by the time that has passed; called regularly. */
  fade(nowMs: number): void {
    const factor = Math.exp(-Math.max(0, nowMs - this.fadedAtMs) / FADE_MS);
    this.fadedAtMs = nowMs;
    this.total = 0;
    for (const [team, count] of this.byTeam) {
      const faded = count * factor;
      if (faded < FORGOTTEN_ADMISSIONS) this.byTeam.delete(team);
      else this.byTeam.set(team, faded);
      this.total += faded;
    }
  }

  /**
   * Whether a team was admitted more often than the average of the active teams.
   *
   * @example admissions.isAboveFairShare('hotel') // false if no other team sends requests
   */
  isAboveFairShare(team: string): boolean {
    const count = this.byTeam.get(team) ?? 0;
    return count > this.total / Math.max(1, this.byTeam.size) + SLACK;
  }
}
