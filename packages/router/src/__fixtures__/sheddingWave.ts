/** A wave of requests of three ranks that target the same time, with load shedding and without. */
import type { Traffic } from './virtualService.js';
import { readServedShare, VirtualService } from './virtualService.js';

const FROM_MS = 10_000;
/** Time after a wave within which shedding should have ended. */
const AFTER_MS = 4_000;
const SEED = 6;
const BOXES = 34;
const SLOTS = 1_000;
const RANKS = [0, 1, 2];
const TEAMS = 6;
const BASE_USE = 0.8;
const HOLD_MS = 500;

/** Size and length of a wave, and the time in which its requests should start. */
export interface Wave {
  readonly factor: number;
  readonly lastsMs: number;
  readonly targetMs: number;
}

/** Shares of requests that started within their target, from the start of the wave until four seconds after it. */
export interface WaveShares {
  readonly all: number;
  readonly urgent: number;
}

/** Plays a wave whose callers do not return; the traffic is the same with shedding and without. */
export function runWave({ factor, lastsMs, targetMs }: Wave, isShedding: boolean): WaveShares {
  const isWave = (nowMs: number): boolean => nowMs >= FROM_MS && nowMs < FROM_MS + lastsMs;
  const perS = (BASE_USE * SLOTS * 1_000) / HOLD_MS / RANKS.length / TEAMS;
  const createTeam = (rank: number, team: number): Traffic => ({
    name: `rank ${rank}`,
    rank,
    team: `team-${team}`,
    holdMs: HOLD_MS,
    targetMs,
    perS: (nowMs) => (isWave(nowMs) ? factor * perS : perS),
  });
  const traffic = RANKS.flatMap((rank) => Array.from({ length: TEAMS }, (_, team) => createTeam(rank, team)));
  const service = new VirtualService({ boxes: BOXES, slots: SLOTS, traffic, seed: SEED, isShedding });
  service.timeline.run(FROM_MS + lastsMs + AFTER_MS + targetMs);
  const readShare = (isSelected: (kind: Traffic) => boolean): number =>
    readServedShare(service.select(isSelected, FROM_MS, FROM_MS + lastsMs + AFTER_MS));
  return { all: readShare(() => true), urgent: readShare(({ rank }) => rank === 0) };
}
