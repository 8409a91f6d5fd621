/** Runs a process object until a signal or a handover ends it. */
import type { BaseContext } from 'clipanion';
import type { Result } from 'ts-results';
import type { HallholdError } from '../errors/hallhold-error';
import { ExitCode, printError } from './output';

/** A process that supports a planned stop. */
export interface StoppableProcess {
  stop(): Promise<void>;
  /** Resolves when a successor has taken over and this process can exit. */
  readonly handedOver?: Promise<void>;
}

/** Reloads settings on SIGHUP. */
export type Reload<T> = (running: T) => void;

/** Runs until SIGTERM or SIGINT (planned stop) or a handover. Returns the exit code. */
export async function runUntilSignal<T extends StoppableProcess>(
  context: BaseContext,
  start: () => Promise<T>,
  reload?: Reload<T>,
): Promise<number> {
  try {
    const running = await start();
    if (reload) {
      process.on('SIGHUP', () => reload(running));
    }
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

/** A process whose cluster keys can be replaced while it runs. */
export interface KeyedProcess<S> {
  replaceKeys(settings: S): void;
  /** Logs that the settings are invalid; the current keys stay in use. */
  refuseSettings(error: HallholdError): void;
}

/** Applies the keys of reloaded settings, or keeps the current ones if these are invalid. */
export function applyReloadedKeys<S>(
  running: KeyedProcess<S>,
  loaded: Result<S, HallholdError>,
): void {
  if (loaded.ok) {
    running.replaceKeys(loaded.val);
  } else {
    running.refuseSettings(loaded.val);
  }
}
