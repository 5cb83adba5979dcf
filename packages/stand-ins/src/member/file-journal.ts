import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import type { JournalRecord } from './replica-log.js';
import type { TableChange } from './sql/table-store.js';

/** Durable storage of a stand-in member's log and promise: a file of JSON lines. */
export class FileJournal {
  /** @param file - path of the file, which is created on the first write */
  constructor(private readonly file: string) {}

  /** Appends a record. */
  readonly write = (record: JournalRecord<TableChange>): void => {
    appendFileSync(this.file, `${JSON.stringify(record)}\n`);
  };

  /** @returns all records, oldest first; an incomplete last line is left out */
  read(): JournalRecord<TableChange>[] {
    if (!existsSync(this.file)) return [];
    const lines = readFileSync(this.file, 'utf8').split('\n');
    lines.pop();
    return lines.map((line) => JSON.parse(line) as JournalRecord<TableChange>);
  }
}
