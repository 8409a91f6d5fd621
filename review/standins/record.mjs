/** `record.txt` of a case: what was sent, answered and run, with the time since the start. */
import { appendFileSync, writeFileSync } from 'node:fs';
import { performance } from 'node:perf_hooks';

export class Record {
  #path;
  #startedAt = performance.now();

  constructor(path) {
    this.#path = path;
    writeFileSync(path, '');
  }

  /** Milliseconds since the start of the record. */
  now() {
    return performance.now() - this.#startedAt;
  }

  write(text) {
    appendFileSync(this.#path, `${(this.now() / 1000).toFixed(3).padStart(8)} s  ${text}\n`);
  }
}
