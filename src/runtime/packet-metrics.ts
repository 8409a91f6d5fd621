/**
 * The metrics page of a packet process: counters, gauges and latency histograms as text.
 *
 * Loaded only when the settings configure it, after the process has begun to handle packets.
 */
import { createServer, type Server } from 'node:http';
import { Histogram } from 'prom-client';
import { getEndpointAddress } from '../core/endpoint';
import type { Endpoint } from '../environment';
import type { EventFields, EventKind } from '../logging/events';
import { Events } from '../logging/events';
import { Metrics, type MetricValues } from './metrics';

const REPORT_AGE_BUCKETS_MS = [25, 50, 100, 150, 200, 250, 300, 500, 700, 1_000, 3_000];
const HANDLING_TIME_BUCKETS_MS = [0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 20, 50, 100];
const LOCATION_PATTERN = /^(\d{1,5})(\/.*)$/;

/** Port and path of a metrics page. */
export interface MetricsLocation {
  readonly port: number;
  readonly path: string;
}

/** Parses "PORT/PATH"; undefined for any other form. */
export function parseMetricsLocation(text: string): MetricsLocation | undefined {
  const parts = LOCATION_PATTERN.exec(text);
  return parts ? { port: Number(parts[1]), path: parts[2]! } : undefined;
}

/** Metrics of one packet process. */
export class PacketMetrics {
  private readonly metrics = new Metrics();
  private readonly reportAge: Histogram;
  private readonly handlingTime: Histogram;

  /** @param read the process's current values; each name becomes a gauge */
  constructor(read: () => MetricValues) {
    const registers = [this.metrics.registry];
    this.reportAge = new Histogram({
      name: 'hallhold_placement_report_age_milliseconds',
      help: 'Age of the report by which a new flow was placed',
      buckets: REPORT_AGE_BUCKETS_MS,
      registers,
    });
    this.handlingTime = new Histogram({
      name: 'hallhold_packet_handling_milliseconds',
      help: 'Time from taking a packet from its socket to having sent it on',
      buckets: HANDLING_TIME_BUCKETS_MS,
      registers,
    });
    this.metrics.expose('packets', read);
  }

  /** Counts an event; adds the report age of a placed flow to its histogram. */
  observeEvent(event: EventKind, fields: EventFields): void {
    this.metrics.count(event);
    const age = fields['reportAge'];
    if (event === Events.flowPlaced && typeof age === 'number') {
      this.reportAge.observe(age);
    }
  }

  /** Records the handling time of one packet. */
  observePacket(milliseconds: number): void {
    this.handlingTime.observe(milliseconds);
  }

  /** The page in Prometheus text format. */
  render(): Promise<string> {
    return this.metrics.registry.metrics();
  }

  /** Serves the page at a machine's address; `onError` is called when it cannot listen. */
  serve(machine: Endpoint, location: MetricsLocation, onError: (error: Error) => void): Server {
    const server = createServer((call, response) => {
      const isKnownPath = call.url?.split('?')[0] === location.path;
      if (!isKnownPath) {
        response.writeHead(404).end();
        return;
      }
      this.render().then(
        (text) => response.writeHead(200, { 'Content-Type': 'text/plain' }).end(text),
        () => response.writeHead(500).end(),
      );
    });
    server.on('error', onError);
    return server.listen(location.port, getEndpointAddress(machine));
  }
}
