/** Checks that streams go on only at the software version that began them, and that callers can take them up. */
import type { BrokenStream, CallerRecord, Ledger } from './ledger.js';
import type { Violation } from './violation.js';
import { createViolation, isServed, SETTLE_MS } from './violation.js';

/** An event of a stand-in endpoint: id, request, number and total of events, and the endpoint's version if it has one. */
const EVENT = /id: (\d+)\ndata: (\S+) (\d+)\/(\d+)(?: (\S+))?\n\n/g;
/** Streams taken up from which the share that goes on is checked. */
const MIN_TAKEN_UP = 12;
const MIN_SHARE = 0.5;

/** A whole event of a stream. */
export interface StreamEvent {
  readonly id: number;
  readonly requestId: string;
  readonly total: number;
  readonly softwareVersion: string | undefined;
}

/**
 * The whole events of a stream.
 *
 * @example parseEvents('id: 1\ndata: c-1 1/8 v2\n\n') // [{ id: 1, requestId: 'c-1', total: 8, softwareVersion: 'v2' }]
 */
export function parseEvents(body: string): StreamEvent[] {
  return [...body.matchAll(EVENT)].map(([, id, requestId = '', , total, softwareVersion]) => {
    return { id: Number(id), requestId, total: Number(total), softwareVersion };
  });
}

/** The stream that broke off with a request, if its caller can take it up. */
export function findBrokenStream(request: CallerRecord): BrokenStream | undefined {
  const { route, requestId, outcome, takesUp } = request;
  if (route !== 'streamResumable' || outcome.type !== 'cut') return undefined;
  const lastEventId = parseEvents(outcome.body).at(-1)?.id ?? takesUp?.lastEventId;
  return lastEventId === undefined ? undefined : { requestId: takesUp?.requestId ?? requestId, lastEventId };
}

/** Runs the checks. */
export function checkStreams(ledger: Ledger): Violation[] {
  return [...checkVersions(ledger), ...checkTakenUp(ledger)];
}

function checkVersions(ledger: Ledger): Violation[] {
  const versions = new Map<string, string>();
  return ledger.requests.flatMap((request) => {
    const { outcome, takesUp, requestId } = request;
    if (outcome.type !== 'answer' && outcome.type !== 'cut') return [];
    return parseEvents(outcome.body).flatMap(({ softwareVersion }) => {
      if (softwareVersion === undefined) return [];
      const stream = takesUp?.requestId ?? requestId;
      const before = versions.get(stream) ?? softwareVersion;
      versions.set(stream, softwareVersion);
      const detail = `${stream} went from ${before} to ${softwareVersion}`;
      return before === softwareVersion ? [] : [createViolation('one version a stream', request, detail)];
    });
  });
}

/** At boxes without a fault, streams are taken up at least half as often as new ones begin. */
function checkTakenUp(ledger: Ledger): Violation[] {
  const sound = ledger.requests.filter(({ route, box, sentAtMs, endedAtMs }) => {
    return route === 'streamResumable' && ledger.wasUndisturbed(box, sentAtMs, endedAtMs, SETTLE_MS);
  });
  const takenUp = sound.filter(({ takesUp }) => takesUp !== undefined);
  const begun = sound.filter(({ takesUp }) => takesUp === undefined);
  if (takenUp.length < MIN_TAKEN_UP) return [];
  const shares = [takenUp, begun].map((requests) => requests.filter(isServed).length / requests.length);
  const [share = 0, usual = 0] = shares;
  if (share >= MIN_SHARE * usual) return [];
  const detail = `${share.toFixed(2)} of ${takenUp.length}, new ones ${usual.toFixed(2)} of ${begun.length}`;
  return [{ check: 'streams are taken up', detail }];
}
