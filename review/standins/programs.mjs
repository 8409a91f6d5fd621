/** Starts the project's programs with the commands, the template and the key of the deploy file. */
import { spawn } from 'node:child_process';
import { closeSync, openSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import process from 'node:process';
import { setTimeout as wait } from 'node:timers/promises';

/** Time after which the platform starts a process again that has ended. */
const RESTART_MS = 600;

/** The roles of deploy/system.toml. */
export function readRoles(root) {
  const text = readFileSync(join(root, 'deploy/system.toml'), 'utf8');
  const roles = {};
  for (const section of text.split(/^\[roles\./m).slice(1)) {
    const name = section.slice(0, section.indexOf(']'));
    const read = (key) => new RegExp(`^${key} = "([^"]*)"`, 'm').exec(section)?.[1];
    const variables = {};
    for (const [, key, value] of (/^env = \{(.*)\}/m.exec(section)?.[1] ?? '').matchAll(
      /(\w+) = "([^"]*)"/g,
    )) {
      variables[key] = value;
    }
    roles[name] = {
      run: read('run'),
      template: readFileSync(join(root, read('template')), 'utf8'),
      variables,
    };
  }
  return roles;
}

function lookUp(fields, path) {
  return path.split('.').reduce((value, key) => value?.[key], fields);
}

function format(value, isJson) {
  if (isJson) {
    return JSON.stringify(value ?? null);
  }
  if (value === undefined || value === null) {
    return '';
  }
  if (Array.isArray(value)) {
    return value.join(',');
  }
  return typeof value === 'object' ? JSON.stringify(value) : String(value);
}

/** Fills a template as DEPLOY.md says, as far as this project's template needs it. */
export function fillTemplate(template, fields) {
  return template
    .replace(/\{\{#([^}]+)\}\}([\s\S]*?)\{\{\/\1\}\}/g, (_all, path, inner) => {
      const value = lookUp(fields, path);
      return value === undefined || value === false ? '' : inner;
    })
    .replace(/\{\{([^}|]+)(\|json)?\}\}/g, (_all, path, json) =>
      format(lookUp(fields, path), json !== undefined),
    );
}

/** One process of the system on one machine. */
export class Program {
  #child;
  #exited;

  constructor({ root, role, fields, folder, record }) {
    this.root = root;
    this.role = role;
    this.fields = fields;
    this.folder = folder;
    this.record = record;
  }

  get name() {
    return this.fields.node;
  }

  start() {
    const settings = join(this.folder, `${this.name}.json`);
    writeFileSync(settings, fillTemplate(this.role.template, this.fields));
    const [command, ...words] = this.role.run.split(' ');
    const { PATH, HOME, LANG } = process.env;
    const output = openSync(join(this.folder, `${this.name}.out`), 'a');
    this.#child = spawn(command, words, {
      cwd: this.root,
      env: { PATH, HOME, LANG, HALLHOLD_CONFIG: settings, ...this.role.variables },
      stdio: ['ignore', output, output],
    });
    closeSync(output);
    const child = this.#child;
    this.#exited = new Promise((done) => {
      child.once('exit', (code, signal) => {
        this.record.write(`${this.name}: process ends (${signal ?? `status ${code}`})`);
        done();
      });
      child.once('error', () => done());
    });
    this.record.write(`${this.name}: process starts`);
  }

  signal(name) {
    this.record.write(`${this.name}: gets ${name}`);
    this.#child.kill(name);
  }

  /** Ends the process by a signal; the platform starts it again after a moment. */
  async restart(signal) {
    this.signal(signal);
    await this.#exited;
    await wait(RESTART_MS);
    this.start();
  }

  async end() {
    if (this.#child?.exitCode === null && this.#child.signalCode === null) {
      this.#child.kill('SIGKILL');
    }
    await this.#exited;
  }
}
