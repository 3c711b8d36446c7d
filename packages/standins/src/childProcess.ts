/** Processes that the launcher starts, and only those: each is ended by its own handle. */
import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { createInterface } from 'node:readline';

/** A started process and the first line that said where it listens. */
export interface StartedProcess<T> {
  readonly child: ChildProcess;
  readonly announced: T;
  /** Lines it printed since. */
  readonly lines: string[];
}

const running = new Set<ChildProcess>();

/** A launcher that ends, however it ends, takes its processes with it. */
function endAllAtExit(): void {
  process.on('exit', () => running.forEach((child) => child.kill('SIGKILL')));
  for (const signal of ['SIGINT', 'SIGTERM'] as const) process.once(signal, () => process.exit(1));
}

function track(child: ChildProcess): void {
  if (running.size === 0 && process.listenerCount('SIGTERM') === 0) endAllAtExit();
  running.add(child);
  child.once('exit', () => running.delete(child));
}

/** Starts a Node program and waits until `read` recognises a line of its output. */
export function startProcess<T>(
  args: readonly string[],
  read: (line: string) => T | undefined,
  options: { readonly env?: NodeJS.ProcessEnv; readonly onLine?: (line: string) => void } = {},
): Promise<StartedProcess<T>> {
  const child = spawn(process.execPath, args, {
    stdio: ['ignore', 'pipe', 'pipe'],
    env: { ...process.env, ...options.env },
  });
  track(child);
  const lines: string[] = [];
  return new Promise((resolve, reject) => {
    child.once('exit', (code) =>
      reject(new Error(`${args.join(' ')} ended with ${code}: ${lines.join('\n')}`)),
    );
    createInterface({ input: child.stderr }).on('line', (line) => lines.push(line));
    createInterface({ input: child.stdout }).on('line', (line) => {
      lines.push(line);
      options.onLine?.(line);
      const announced = read(line);
      if (announced !== undefined) resolve({ child, announced, lines });
    });
  });
}

/** Sends a signal and waits for the end. Resolves with the exit code; null after a signal. */
export function endProcess(child: ChildProcess, signal: NodeJS.Signals): Promise<number | null> {
  if (child.exitCode !== null || child.signalCode !== null) return Promise.resolve(child.exitCode);
  return new Promise((resolve) => {
    child.once('exit', (code) => resolve(code));
    child.kill(signal);
  });
}
