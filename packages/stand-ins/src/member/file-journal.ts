/** Keeps a stand-in member's log and promise in a file, as a database keeps its own. */
import { appendFileSync, existsSync, readFileSync } from 'node:fs';
import type { JournalRecord } from './replica-log.js';
import type { Change } from './sql/table-store.js';

/** Appends records as JSON lines. */
export class FileJournal {
  /** @param file - where to keep the records */
  constructor(private readonly file: string) {}

  /** Keeps a record. */
  readonly write = (record: JournalRecord<Change>): void => {
    appendFileSync(this.file, `${JSON.stringify(record)}\n`);
  };

  /** @returns everything that was kept; a last line that was not written whole is left out */
  read(): JournalRecord<Change>[] {
    if (!existsSync(this.file)) return [];
    const lines = readFileSync(this.file, 'utf8').split('\n');
    lines.pop();
    return lines.map((line) => JSON.parse(line) as JournalRecord<Change>);
  }
}
