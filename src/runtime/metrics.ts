/** Prometheus metrics of one process, based on prom-client. */
import { collectDefaultMetrics, Counter, Gauge, Registry } from 'prom-client';
import type { EventKind } from '../logging/events';

/** Metric values by name. */
export type MetricValues = Readonly<Record<string, number | boolean>>;

/** Interval of event loop delay samples; the default of 10 ms wakes an idle process too often. */
const EVENT_LOOP_SAMPLE_INTERVAL_MS = 200;

/** Registry of one process. */
export class Metrics {
  readonly registry = new Registry();
  private readonly events: Counter<'event'>;

  constructor() {
    collectDefaultMetrics({
      register: this.registry,
      eventLoopMonitoringPrecision: EVENT_LOOP_SAMPLE_INTERVAL_MS,
    });
    this.events = new Counter({
      name: 'hallhold_events_total',
      help: 'Numbered events, also those whose log line was suppressed',
      labelNames: ['event'],
      registers: [this.registry],
    });
  }

  /** Counts an event. */
  count(event: EventKind): void {
    this.events.inc({ event: event.name });
  }

  /** Exposes every value of a node as a gauge, read on each scrape. */
  expose(prefix: string, read: () => MetricValues): void {
    for (const name of Object.keys(read())) {
      new Gauge({
        name: `hallhold_${prefix}_${toSnakeCase(name)}`,
        help: `The ${prefix}'s ${name}`,
        registers: [this.registry],
        collect() {
          this.set(Number(read()[name]));
        },
      });
    }
  }
}

function toSnakeCase(name: string): string {
  return name.replace(/[A-Z]/g, (letter) => `_${letter.toLowerCase()}`);
}
