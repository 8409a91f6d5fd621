/** Runs a process object until a signal asks it to stop. */
import type { BaseContext } from 'clipanion';
import type { Result } from 'ts-results';
import type { HallholdError } from '../errors/hallhold-error';
import { ExitCode, printError } from './output';

/** A process that can be stopped as planned. */
export interface StoppableProcess {
  stop(): Promise<void>;
  /** Resolves when a successor has taken over, and this process has nothing left to do. */
  readonly handedOver?: Promise<void>;
}

/** Re-reads settings when SIGHUP comes. */
export type Reload<T> = (running: T) => void;

/** Starts, waits for SIGTERM or SIGINT, stops as planned. Returns the exit code. */
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
  /** Notes that settings were wrong and the keys in use stay. */
  refuseSettings(error: HallholdError): void;
}

/** Takes the keys of freshly loaded settings, or keeps those in use when they are wrong. */
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
