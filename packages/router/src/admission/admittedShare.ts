/**
 * Share of the requests to a service that a box may admit, by the use of the service in the whole fleet.
 *
 * Use is known half a second to a second late, and admitted requests occupy their slots for a while, so the share
 * follows the use gradually. All boxes have about the same view and so about the same share; differences between them,
 * as after a start, fade.
 */

/** Change of the pressure for each unit of excess use: at once, and per second that it lasts. */
const IMMEDIATE_GAIN = 0.3;
const GAIN_PER_S = 0.6;
/** Time in which the pressure fades, so that boxes with different pasts come to the same share. */
const FADE_MS = 10_000;
/** Excess use that is acted on; the use of a service that restarts or loses its endpoints jumps. */
const MIN_EXCESS = -0.5;
const MAX_EXCESS = 1;
/** The share never falls below a tenth, and so returns to 1 within seconds when the load ends. */
const MAX_PRESSURE = 2.3;
/** A lower pressure counts as none, so that all requests are admitted again. */
const MIN_PRESSURE = 0.02;
/** A view counts for no longer than this, also if the next one is late. */
const MAX_STEP_MS = 1_000;
/** A trend is extended over no more than this: an older age is that of a single late box, not of the sum. */
const MAX_EXTENDED_MS = 1_500;
/** Changes of the use by the requests of this box alone: the loads of the others are still the same. */
const SAME_USE = 0.02;
/** Difference between times that counts as none. */
const SAME_TIME_MS = 1;
const MS_PER_S = 1_000;

/** Use of a service in the view of a box. */
export interface ObservedUse {
  /** Requests in flight relative to the slots. */
  readonly use: number;
  /** Age of the oldest loads in it. */
  readonly ageMs: number;
  /** Use up to which all requests are admitted: 1, and what may wait at the endpoints. */
  readonly allowedUse: number;
}

/** Admitted share of one service; the negative logarithm of the share is called pressure. */
export class AdmittedShare {
  private pressure = 0;
  private excess = 0;
  private lastUse: number | undefined;
  private fadedAtMs = -Infinity;
  /** When the last view was counted, and when its oldest loads were measured. */
  private countedAtMs = -Infinity;
  private measuredAtMs = -Infinity;

  /**
   * The admitted share, 1 if everything is admitted.
   *
   * @example if (share.read() < 1) shed();
   */
  read(): number {
    if (this.pressure === 0 && this.excess <= 0) return 1;
    const total = this.pressure + IMMEDIATE_GAIN * this.excess;
    return Math.exp(-Math.min(MAX_PRESSURE, Math.max(0, total)));
  }

  /** Adjusts the share to a new view. */
  update(observed: ObservedUse, nowMs: number): void {
    this.fade(nowMs);
    if (this.isCounted(observed, nowMs)) return;
    const elapsedMs = nowMs - this.countedAtMs;
    this.countedAtMs = nowMs;
    this.measuredAtMs = nowMs - observed.ageMs;
    const trendPerMs = this.readTrendPerMs(observed.use, elapsedMs);
    const stepMs = Math.min(MAX_STEP_MS, elapsedMs);
    this.lastUse = observed.use;
    // The trend only counts once the service had no room: a rise that ends below that must not shed anything.
    const isShedding = observed.use > observed.allowedUse || this.pressure > 0;
    const extendedMs = Math.min(MAX_EXTENDED_MS, observed.ageMs);
    const expectedUse = observed.use + (isShedding ? trendPerMs * extendedMs : 0);
    this.excess = Math.min(MAX_EXCESS, Math.max(MIN_EXCESS, expectedUse - observed.allowedUse));
    this.pressure += (GAIN_PER_S * this.excess * stepMs) / MS_PER_S;
    this.pressure = Math.min(MAX_PRESSURE, Math.max(0, this.pressure));
    if (this.pressure < MIN_PRESSURE && this.excess <= 0) this.pressure = 0;
  }

  /** Lets the share return to 1 while the use is not known. */
  relax(nowMs: number): void {
    this.fade(nowMs);
    this.excess = 0;
    this.lastUse = undefined;
    this.countedAtMs = nowMs;
    this.measuredAtMs = -Infinity;
  }

  /** Fades the pressure by the time since it was last faded. */
  private fade(nowMs: number): void {
    this.pressure *= Math.exp((this.fadedAtMs - nowMs) / FADE_MS);
    this.fadedAtMs = nowMs;
  }

  /** Whether these loads were counted before. With one late box only their age stays the same. */
  private isCounted({ use, ageMs }: ObservedUse, nowMs: number): boolean {
    if (this.lastUse === undefined) return false;
    const isSameAge = nowMs - ageMs - this.measuredAtMs < SAME_TIME_MS;
    return isSameAge && Math.abs(use - this.lastUse) < SAME_USE;
  }

  /** Change of the use since the last counted view; 0 if that view was too long ago to tell. */
  private readTrendPerMs(use: number, elapsedMs: number): number {
    if (this.lastUse === undefined || elapsedMs <= 0 || elapsedMs > MAX_STEP_MS) return 0;
    return (use - this.lastUse) / elapsedMs;
  }
}
