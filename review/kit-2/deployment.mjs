/* global performance, setTimeout, clearTimeout */
/** A small deployment on loopback: the project's own programs as processes, with stand-ins around them. */
import { spawn } from 'node:child_process';
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { dirname, join, resolve } from 'node:path';
import { fileURLToPath } from 'node:url';
import { ClientMachine, Routers } from './client.mjs';
import { Store, StoreProxy } from './store.mjs';

const ROOT = resolve(dirname(fileURLToPath(import.meta.url)), '../..');
const RESTART_MS = 500;
/** Bounds of the small sites, in milliseconds. */
export const Bounds = {
  contact: 4_000,
  apply: 3_000,
  drain: 3_000,
  flow: 2_000,
  heartbeat: 1_200,
  grace: 6_000,
};
export const now = () => performance.now();
export const sleep = (milliseconds) => new Promise((done) => setTimeout(done, milliseconds));

const isGiven = (value) => value !== undefined && value !== '' && value !== false && value !== null;
const look = (fields, name) => name.split('.').reduce((value, part) => value?.[part], fields);

/** Fills a template as the page on the deploy file tells, as far as this project's template needs. */
function fillTemplate(template, fields) {
  const blocks = /\{\{#([\w.-]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g;
  const text = template.replace(blocks, (_all, name, inner) =>
    isGiven(look(fields, name)) ? inner : '',
  );
  return text.replace(/\{\{([\w.-]+)(\|json)?\}\}/g, (_all, name, asJson) => {
    const value = look(fields, name);
    if (asJson) {
      return JSON.stringify(value ?? null);
    }
    return Array.isArray(value) ? value.join(',') : String(value ?? '');
  });
}

/** The command, template and variables of a role in the deploy file. */
function readRole(name) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const part = text.split(`[roles.${name}]`)[1].split('\n[')[0];
  const env = /env = \{ (\w+) = "([^"]*)" \}/.exec(part);
  return {
    run: /run = "([^"]*)"/.exec(part)[1].split(' '),
    template: readFileSync(join(ROOT, /template = "([^"]*)"/.exec(part)[1]), 'utf8'),
    env: env ? { [env[1]]: env[2] } : {},
  };
}

/** One process of the system; whatever ends it, it is started again after a short delay. */
class Process {
  constructor(role, settings, folder) {
    Object.assign(this, { settings, name: settings.node });
    this.role = readRole(role);
    this.path = join(folder, `${this.name}.json`);
    this.log = createWriteStream(join(folder, `${this.name}.log`));
    writeFileSync(this.path, fillTemplate(this.role.template, settings));
  }

  start() {
    const [program, ...words] = this.role.run;
    const { PATH, HOME, LANG } = process.env;
    const env = { PATH, HOME, LANG, ...this.role.env, HALLHOLD_CONFIG: this.path };
    this.child = spawn(program === 'node' ? process.execPath : program, words, {
      cwd: ROOT,
      env,
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const { child } = this;
    child.stdout.pipe(this.log, { end: false });
    child.stderr.pipe(this.log, { end: false });
    child.once('exit', () => {
      if (!this.isClosed && !this.isRemoved) {
        setTimeout(() => this.isClosed || this.start(), RESTART_MS);
      }
    });
  }

  kill() {
    this.child.kill('SIGKILL');
  }

  /** As in a planned restart. */
  terminate() {
    this.child.kill('SIGTERM');
  }

  /** Resolves when the process that runs now has ended; it is started again after a delay. */
  waitForExit() {
    return new Promise((done) => this.child.once('exit', done));
  }

  async close() {
    this.isClosed = true;
    if (this.child && this.child.exitCode === null && this.child.signalCode === null) {
      const ended = new Promise((done) => this.child.once('exit', done));
      this.child.kill('SIGKILL');
      await ended;
    }
    this.log.end();
  }
}

function probe(host, port) {
  return new Promise((done) => {
    const call = request(
      { host, port, path: '/hallhold/ready', agent: false, timeout: 400 },
      (answer) => {
        answer.resume();
        done(answer.statusCode === 200);
      },
    );
    call.on('timeout', () => call.destroy());
    call.on('error', () => done(false));
    call.end();
  });
}

function isFree(host, port) {
  return new Promise((done) => {
    const server = createServer();
    server.once('error', () => done(false));
    server.listen(port, host, () => server.close(() => done(true)));
  });
}

/** The deployment of one run. */
export class Deployment {
  fronts = [];
  sides = [];
  lines = [];
  startedAt = now();
  folder = mkdtempSync(join(tmpdir(), 'review-'));
  store = new Store();
  proxy = new StoreProxy();
  version = 0;

  /** @param options `{ fronts: [zone, ..], sides: [{ zone, service }, ..] }` */
  constructor(options) {
    this.options = options;
    this.log = (kind, fields = {}) => {
      const at = ((now() - this.startedAt) / 1_000).toFixed(3).padStart(8);
      const rest = Object.entries(fields).map(([name, value]) => `${name}=${value}`);
      this.lines.push([at, kind, ...rest].join(' '));
    };
  }

  async start() {
    const net = `127.${60 + (process.pid % 120)}`;
    let base = 20_000 + ((process.pid * 16) % 12_000);
    while (!(await isFree(`${net}.0.1`, base))) {
      base += 16;
    }
    this.net = net;
    this.ports = {
      frames: base,
      packet: base + 1,
      outbound: base + 2,
      app: base + 3,
      ready: base + 4,
      control: base + 5,
    };
    await this.store.start(`${net}.0.1`, base + 6);
    await this.proxy.start(`${net}.0.2`, base + 7, `${net}.0.1`, base + 6);
    const { fronts, sides } = this.options;
    fronts.forEach((zone, index) => this.fronts.push(this.createMachine('front', zone, index)));
    this.seeds = this.fronts.slice(0, 3).map(({ ip }) => `${ip}:${this.ports.control}`);
    sides.forEach(({ zone, service }, index) =>
      this.sides.push(this.createMachine('side', zone, index, service)),
    );
    this.routers = new Routers(this.fronts);
    this.clients = new ClientMachine(`${net}.9.1`, this.ports.packet, this.routers, this.log);
    await this.clients.start();
    [...this.fronts, ...this.sides].forEach((machine) => this.startProcess(machine));
    this.routers.start();
  }

  createMachine(kind, zone, index, service) {
    const ip = `${this.net}.${kind === 'front' ? 1 : 2}.${index + 1}`;
    return { kind, name: `${kind}-${zone}-${index + 1}`, ip, zone, service, ports: this.ports };
  }

  startProcess(machine) {
    const { ports } = this;
    const isFront = machine.kind === 'front';
    const zones = Object.fromEntries(
      [...this.fronts, ...this.sides].map(({ zone }) => [zone, 'region']),
    );
    const at = (port) => `${machine.ip}:${port}`;
    const listen = isFront
      ? { 'packet-addr': at(ports.packet), ready: at(ports.ready), control: at(ports.control) }
      : {
          'packet-addr': at(ports.packet),
          outbound: at(ports.outbound),
          ready: at(ports.ready),
          control: at(ports.control),
        };
    const settings = {
      node: machine.name,
      role: isFront ? 'balancer' : 'agent',
      class: machine.kind,
      serves: isFront ? ['front', 'control'] : ['side'],
      ip: machine.ip,
      zone: machine.zone,
      region: 'region',
      'port-range': [ports.frames, ports.frames],
      seeds: this.seeds,
      bootstrap: true,
      'heartbeat-ms': Bounds.heartbeat,
      hash: 'steady',
      forwarding: 'agent',
      zones,
      listen,
      limits: {
        'cpu-share': 0.486,
        cores: 1,
        'memory-mb': isFront ? 350 : 218,
        'max-fds': 4_096,
        'link-mbps': 1_000,
      },
      bounds: {
        'contact-ms': Bounds.contact,
        'drain-ms': Bounds.drain,
        'grace-s': 6,
        'apply-ms': Bounds.apply,
        'flow-ms': Bounds.flow,
        'flow-ttl-s': 60,
      },
      platform: { addr: `${this.net}.0.2:${this.ports.frames + 7}`, forwarding: 'objects' },
      ...(isFront ? {} : { service: machine.service, app: at(ports.app) }),
    };
    machine.process = new Process(settings.role, settings, this.folder);
    machine.process.start();
  }

  /** Adds a front machine, as planned work. */
  addFront(zone) {
    const machine = this.createMachine('front', zone, this.fronts.length);
    this.fronts.push(machine);
    this.startProcess(machine);
    this.log('front machine added', { name: machine.name });
    return machine;
  }

  /** Writes the next version of the configuration; `routes` is `{ "address:port": service }`. */
  configure(routes) {
    this.version += 3;
    const services = [...new Set([...this.options.sides.map(({ service }) => service)])];
    const spec = {
      version: this.version,
      routes: Object.entries(routes).map(([destination, service], index) => {
        const [host, port] = destination.split(':');
        return {
          name: `route-${index}`,
          host,
          'path-prefix': `/${port}/`,
          service,
          type: 'safe',
          'timeout-ms': 1_500,
          'slo-ms': 250,
          priority: 1,
          attempts: 1,
        };
      }),
      services: services.map((name) => ({
        name,
        'health-path': '/health',
        'cold-start-s': this.options.coldSeconds,
      })),
      limits: { 'idle-timeout-ms': 60_000 },
    };
    this.store.put('config', 'main', spec);
    const text = Object.entries(routes).map(([route, service]) => `${route}->${service}`);
    this.log('configuration acknowledged', { version: this.version, routes: text.join(',') });
    return now();
  }

  async waitReady() {
    const deadline = now() + 15_000;
    while (!this.fronts.every((front) => this.routers.isIn(front))) {
      if (now() > deadline) {
        throw new Error('the fronts are not ready');
      }
      await sleep(100);
    }
  }

  /** Waits until the processes of all sides answer the platform's probe. */
  async waitSidesReady() {
    const deadline = now() + 15_000;
    for (const { ip } of this.sides) {
      while (!(await probe(ip, this.ports.ready))) {
        if (now() > deadline) {
          throw new Error('the sides are not ready');
        }
        await sleep(20);
      }
    }
  }

  /** Ends everything that was started. */
  async stop() {
    this.routers?.stop();
    this.clients?.stop();
    await Promise.all([...this.fronts, ...this.sides].map(({ process: one }) => one?.close()));
    this.proxy.stop();
    this.store.stop();
    if (!process.env.KEEP_LOGS) {
      rmSync(this.folder, { recursive: true, force: true });
    }
  }
}

/**
 * Plays a case and exits: 1 if its rule was broken, 0 if it held, 2 if the case could not run.
 * @param play gets the deployment and whether the disruption is played; returns the violations found
 */
export async function runCase(folder, options, play) {
  const isTroubled = process.env.TROUBLE !== '0';
  const deployment = new Deployment(options);
  const timer = setTimeout(() => void end(2, 'out of time'), 110_000);
  let isEnding = false;
  const end = async (code, verdict) => {
    if (isEnding) {
      return;
    }
    isEnding = true;
    clearTimeout(timer);
    deployment.log('verdict', { exit: code, text: `"${verdict}"` });
    await deployment.stop().catch(() => undefined);
    writeFileSync(join(folder, 'record.txt'), `${deployment.lines.join('\n')}\n`);
    process.stdout.write(`${verdict}\n`);
    process.exit(code);
  };
  for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) {
    process.on(signal, () => void end(2, `ended by ${signal}`));
  }
  process.on('uncaughtException', (error) => void end(2, `could not run: ${error.stack}`));
  process.on('unhandledRejection', (error) => void end(2, `could not run: ${error?.stack}`));
  deployment.log('case begins', { disruption: isTroubled });
  await deployment.start();
  const violations = await play(deployment, isTroubled);
  violations.forEach((text) => deployment.log('BROKEN', { text }));
  const verdict = violations.length > 0 ? `broken: ${violations.length} times` : 'held';
  await end(violations.length > 0 ? 1 : 0, verdict);
}
