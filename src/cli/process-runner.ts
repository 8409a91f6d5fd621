/** Runs a process object until a signal asks it to stop. */
import type { BaseContext } from 'clipanion';
import { ExitCode, printError } from './output';

/** A process that can be stopped as planned. */
export interface StoppableProcess {
  stop(): Promise<void>;
  /** Resolves when a successor has taken over, and this process has nothing left to do. */
  readonly handedOver?: Promise<void>;
}

/** Starts, waits for SIGTERM or SIGINT, stops as planned. Returns the exit code. */
export async function runUntilSignal(
  context: BaseContext,
  start: () => Promise<StoppableProcess>,
): Promise<number> {
  try {
    const running = await start();
    const signalled = new Promise<'signal'>((resolve) => {
      process.once('SIGTERM', () => resolve('signal'));
      process.once('SIGINT', () => resolve('signal'));
    });
    const succeeded = running.handedOver?.then(() => 'handed-over' as const);
    const cause = await Promise.race(succeeded ? [signalled, succeeded] : [signalled]);
    if (cause === 'signal') {
      await running.stop();
    }
    return ExitCode.done;
  } catch (error) {
    return printError(context, error);
  }
}
