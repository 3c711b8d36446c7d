/** Holds back an endpoint that sends faster than its bytes can be used, so that one response does not starve all others. */

/**
 * Bytes of one response that are read in one turn of the event loop: some milliseconds of work at most. Without a limit a turn
 * reads a few megabytes from each connection that has them.
 */
const MAX_TURN_BYTES = 131_072;

/** Why nothing is read. */
export type HoldReason =
  /** The caller reads more slowly than the endpoint writes. */
  | 'caller'
  /** Others come first. */
  | 'turn';

/** Reading of the response. */
export interface PacedReader {
  readonly pause: () => void;
  readonly resume: () => void;
}

/** Turns of the event loop in which responses were read. */
class ReadTurns {
  private count = 0;
  private isScheduled = false;
  private readonly waiting: (() => void)[] = [];

  /** Number of the current turn. One callback ends it for all responses that are read in it. */
  get current(): number {
    if (!this.isScheduled) {
      this.isScheduled = true;
      setImmediate(() => this.advance());
    }
    return this.count;
  }

  /** Calls back in the next turn. */
  wait(callback: () => void): void {
    this.waiting.push(callback);
  }

  private advance(): void {
    this.isScheduled = false;
    this.count += 1;
    for (const callback of this.waiting.splice(0)) callback();
  }
}

const turns = new ReadTurns();

/** The pace at which one response is read. */
export class ReadPacing {
  private readonly holds = new Set<HoldReason>();
  private turnBytes = 0;
  private turn = -1;

  constructor(private readonly reader: PacedReader) {}

  /** Records bytes that were read, and holds the reader until the next turn if they are many. */
  recordRead(bytes: number): void {
    const turn = turns.current;
    if (turn !== this.turn) {
      this.turn = turn;
      this.turnBytes = 0;
    }
    this.turnBytes += bytes;
    if (this.turnBytes < MAX_TURN_BYTES || this.holds.has('turn')) return;
    this.hold('turn');
    turns.wait(() => this.release('turn'));
  }

  /** Stops reading for a reason. */
  hold(reason: HoldReason): void {
    if (this.holds.size === 0) this.reader.pause();
    this.holds.add(reason);
  }

  /** Ends a reason; reading goes on when there is none left. */
  release(reason: HoldReason): void {
    if (this.holds.delete(reason) && this.holds.size === 0) this.reader.resume();
  }
}
