/** Compares the observed paces of the endpoints of one service. */
import type { PaceSum } from './paceSums.js';

/** An endpoint counts as at most twice as fast and four times as slow as usual. */
const MIN_PACE = 0.5;
const MAX_PACE = 4;
/**
 * Differences from the mean of the service up to this share of it count as none: endpoints that are slow in turn are
 * alike. From twice this share on differences count in full, and in between in part.
 */
const DEAD_BAND = 0.25;
/**
 * Reports for which the assumption counts that an endpoint is like the mean of its service. It keeps a few reports from
 * moving the estimate.
 */
const USUAL_WEIGHT = 4;
/**
 * Time after which the reports of an endpoint count in full. All reports of a shorter time may come from one slow period,
 * however many they are.
 */
const FULL_TRUST_MS = 16_000;

/** Reports of one endpoint. */
export interface ObservedPace extends PaceSum {
  /** Time since the first of them. */
  readonly forMs: number;
}

/**
 * Limits a pace to what is credible.
 *
 * @example limitPace(9) // 4
 */
export function limitPace(pace: number): number {
  return Math.min(MAX_PACE, Math.max(MIN_PACE, pace));
}

/**
 * Estimates the paces of all endpoints of a service, relative to their median; all 1 if none differs from their mean by
 * more than the dead band. An endpoint without observations counts as the mean.
 *
 * @example
 * const usual = { sum: 100, weight: 100, forMs: 60_000 };
 * estimatePaces([{ ...usual, sum: 250 }, usual, usual]); // about [2.4, 1, 1]
 */
export function estimatePaces(observed: readonly (ObservedPace | undefined)[]): number[] {
  const estimates = estimateAll(observed);
  const mean = average(estimates);
  const ratios = estimates.map((estimate) => estimate / mean);
  if (ratios.every((ratio) => readCountedShare(ratio) === 0)) return ratios.map(() => 1);
  const alike = averageAlike(ratios);
  const values = ratios.map((ratio) => alike + readCountedShare(ratio) * (ratio - alike));
  const usual = findMedian(values);
  return values.map((value) => limitPace(value / usual));
}

function estimateAll(observed: readonly (ObservedPace | undefined)[]): number[] {
  const known = observed.filter((sum) => sum !== undefined);
  const totalWeight = known.reduce((total, { weight }) => total + weight, 0);
  if (totalWeight === 0) return observed.map(() => 1);
  const mean = known.reduce((total, { sum }) => total + sum, 0) / totalWeight;
  return observed.map((own) => {
    if (own === undefined) return mean;
    const { sum, weight, forMs } = own;
    const trust = Math.min(1, forMs / FULL_TRUST_MS) * (weight / (weight + USUAL_WEIGHT));
    return mean + trust * (sum / weight - mean);
  });
}

function readCountedShare(ratio: number): number {
  return Math.min(1, Math.max(0, Math.abs(ratio - 1) / DEAD_BAND - 1));
}

/** Mean of the ratios that count as alike, as far as they do; 1 if none does. */
function averageAlike(ratios: readonly number[]): number {
  let sum = 0;
  let weight = 0;
  for (const ratio of ratios) {
    const alikeShare = 1 - readCountedShare(ratio);
    sum += alikeShare * ratio;
    weight += alikeShare;
  }
  return weight > 0 ? sum / weight : 1;
}

function average(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

/** The lower of the two middle values if their number is even. */
function findMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? 1;
}
