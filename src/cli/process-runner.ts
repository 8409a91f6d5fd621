/** Runs a process object until a signal asks it to stop. */
import type { BaseContext } from 'clipanion';
import { ExitCode, printError } from './output';

/** A process that can be stopped as planned. */
export interface StoppableProcess {
  stop(): Promise<void>;
}

/** Starts, waits for SIGTERM or SIGINT, stops as planned. Returns the exit code. */
export async function runUntilSignal(
  context: BaseContext,
  start: () => Promise<StoppableProcess>,
): Promise<number> {
  try {
    const running = await start();
    await new Promise<void>((resolve) => {
      process.once('SIGTERM', resolve);
      process.once('SIGINT', resolve);
    });
    await running.stop();
    return ExitCode.done;
  } catch (error) {
    return printError(context, error);
  }
}
