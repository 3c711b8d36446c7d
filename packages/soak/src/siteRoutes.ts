/** The routes of a soak, and how large the endpoints of its special services are. */
import type { StandinRoute } from '@hazelwalk/platform/standins';

/** Routes of the two usual services. */
export const ROUTES: readonly StandinRoute[] = [
  { name: 'safe', kind: 'safe', service: 'app', maxAttempts: 2, isResumable: false, timeoutMs: 3_000 },
  { name: 'claim', kind: 'unsafe', service: 'app', maxAttempts: 1, isResumable: false, timeoutMs: 3_000 },
  {
    name: 'streamResumable',
    kind: 'streaming',
    service: 'llm',
    maxAttempts: 2,
    isResumable: true,
    timeoutMs: 3_000,
  },
  {
    name: 'streamOnce',
    kind: 'streaming',
    service: 'llm',
    maxAttempts: 1,
    isResumable: false,
    timeoutMs: 3_000,
  },
];

/** Route of streams that may last longer than the stop of a box. */
export const LONG_ROUTE: StandinRoute = {
  name: 'streamLong',
  kind: 'streaming',
  service: 'llm',
  maxAttempts: 1,
  isResumable: false,
  timeoutMs: 20_000,
};

/** Routes of a service with few slots: two of urgent requests and one of others. */
export const SCARCE_ROUTES: readonly StandinRoute[] = (
  [
    ['scarceUrgent', 'safe', 0],
    ['scarceUrgentClaim', 'unsafe', 0],
    ['scarceLow', 'safe', 2],
  ] as const
).map(([name, kind, priority]) => ({
  name,
  kind,
  priority,
  service: 'scarce',
  maxAttempts: kind === 'safe' ? 2 : 1,
  isResumable: false,
  timeoutMs: 3_000,
}));
/** Slots of each endpoint of that service. */
export const SCARCE_SLOTS = 2;

/** Route of a service whose endpoints do not survive many rejections. */
export const BRITTLE_ROUTE: StandinRoute = {
  name: 'brittle',
  kind: 'safe',
  service: 'brittle',
  maxAttempts: 2,
  isResumable: false,
  timeoutMs: 3_000,
};
/** Slots of each of its endpoints, and the rejections in a second that one survives. */
export const BRITTLE_SLOTS = 3;
export const REJECTION_LIMIT = 3;
