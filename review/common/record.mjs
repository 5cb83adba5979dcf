import { writeFileSync } from 'node:fs';

/** Collects what was sent, answered and run, and writes it to the case's record. */
export class Recorder {
  constructor(path) {
    this.path = path;
    this.lines = [];
    this.startedAt = Date.now();
  }

  add(text) {
    const seconds = ((Date.now() - this.startedAt) / 1000).toFixed(3).padStart(8);
    this.lines.push(`${seconds} s  ${text}`);
  }

  write() {
    writeFileSync(this.path, `${this.lines.join('\n')}\n`);
  }
}
