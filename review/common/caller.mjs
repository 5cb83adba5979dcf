import { connect } from 'node:net';
import { clearTimeout, setTimeout } from 'node:timers';

/** A client's session: sends one request at a time and waits for its complete answer. */
export class Caller {
  constructor({ host, port }) {
    this.isClosed = false;
    this.lines = [];
    this.partialLine = '';
    this.socket = connect({ host, port });
    this.socket.setNoDelay(true);
    this.socket.on('error', () => {});
    this.socket.on('close', () => {
      this.isClosed = true;
      this.settle(undefined);
    });
    this.socket.on('data', (chunk) => this.receive(chunk.toString('latin1')));
  }

  /** Starts the session; returns the lines of the answer, undefined without a complete one. */
  async start(database, key) {
    return this.send(`START ${database} ${key}`, 2000);
  }

  /** Sends a query; returns the lines of the answer, undefined without a complete one. */
  async query(id, text, timeoutMs = 6000) {
    return this.send(`QUERY ${id} ${text}`, timeoutMs);
  }

  close() {
    this.socket.destroy();
  }

  async send(line, timeoutMs) {
    if (this.isClosed) return undefined;
    return new Promise((resolve) => {
      this.resolve = resolve;
      this.timer = setTimeout(() => this.settle(undefined), timeoutMs);
      this.lines = [];
      this.socket.write(`${line}\r\n`, 'latin1');
    });
  }

  receive(text) {
    const lines = (this.partialLine + text).split('\r\n');
    this.partialLine = lines.pop() ?? '';
    for (const line of lines) {
      this.lines.push(line);
      if (line.startsWith('READY ')) this.settle(this.lines);
    }
  }

  settle(lines) {
    clearTimeout(this.timer);
    const { resolve } = this;
    this.resolve = undefined;
    resolve?.(lines);
  }
}
