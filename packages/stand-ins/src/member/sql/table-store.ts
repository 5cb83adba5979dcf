/** Committed tables, and a transaction's changes on top of them. */
import { SqlFailure, type SqlRow, type SqlType } from './values.js';

/** A column of a table. */
export interface ColumnDefinition {
  readonly name: string;
  readonly type: SqlType;
  readonly notNull: boolean;
  readonly serial: boolean;
  /** Syntax tree of the default, if any. */
  readonly defaultValue?: unknown;
}

/** A table's definition. */
export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly ColumnDefinition[];
  readonly primaryKey: readonly string[];
}

/** One change of a committed transaction; replicas apply the same. */
export type Change =
  | { readonly kind: 'create'; readonly definition: TableDefinition }
  | { readonly kind: 'drop'; readonly table: string }
  | { readonly kind: 'put'; readonly table: string; readonly key: string; readonly row: SqlRow }
  | { readonly kind: 'delete'; readonly table: string; readonly key: string };

interface Table {
  readonly definition: TableDefinition;
  readonly rows: Map<string, SqlRow>;
  nextSerial: number;
}

/** The committed state of one member. */
export class TableStore {
  private tables = new Map<string, Table>();

  /**
   * @param changes - changes of one transaction, in order
   */
  apply(changes: readonly Change[]): void {
    for (const change of changes) this.applyChange(change);
  }

  /** Empties the store, to be filled again from the log. */
  clear(): void {
    this.tables = new Map();
  }

  /**
   * @param name - table's name
   * @returns its definition, if it exists
   */
  findDefinition(name: string): TableDefinition | undefined {
    return this.tables.get(name)?.definition;
  }

  /**
   * @param name - table's name
   * @returns its rows by key
   */
  rowsOf(name: string): ReadonlyMap<string, SqlRow> {
    return this.tables.get(name)?.rows ?? new Map();
  }

  /**
   * @param name - table's name
   * @returns the next number of the table's series; never given twice by one process
   */
  takeSerial(name: string): number {
    const table = this.tables.get(name);
    if (table === undefined) return 1;
    const serial = table.nextSerial;
    table.nextSerial += 1;
    return serial;
  }

  private applyChange(change: Change): void {
    if (change.kind === 'create') {
      const { definition } = change;
      this.tables.set(definition.name, { definition, rows: new Map(), nextSerial: 1 });
      return;
    }
    if (change.kind === 'drop') {
      this.tables.delete(change.table);
      return;
    }
    const table = this.tables.get(change.table);
    if (table === undefined) return;
    if (change.kind === 'delete') table.rows.delete(change.key);
    else this.putRow(table, change.key, change.row);
  }

  private putRow(table: Table, key: string, row: SqlRow): void {
    table.rows.set(key, row);
    for (const column of table.definition.columns) {
      const value = row[column.name];
      if (column.serial && typeof value === 'number') {
        table.nextSerial = Math.max(table.nextSerial, value + 1);
      }
    }
  }
}

/** A transaction's own changes, seen by itself only until they are committed. */
export class TableOverlay {
  private readonly changes: Change[] = [];

  private readonly rows = new Map<string, Map<string, SqlRow | null>>();

  private readonly definitions = new Map<string, TableDefinition | null>();

  /** @param store - committed state below */
  constructor(private readonly store: TableStore) {}

  /** @returns the changes so far, in order */
  get pending(): readonly Change[] {
    return this.changes;
  }

  /**
   * @param name - table's name
   * @returns its definition
   * @throws SqlFailure if there is no such table
   */
  resolveDefinition(name: string): TableDefinition {
    const definition = this.findDefinition(name);
    if (!definition) throw new SqlFailure('42P01', `relation "${name}" does not exist`);
    return definition;
  }

  /**
   * @param name - table's name
   * @returns its definition, if it exists
   */
  findDefinition(name: string): TableDefinition | undefined {
    if (this.definitions.has(name)) return this.definitions.get(name) ?? undefined;
    return this.store.findDefinition(name);
  }

  /**
   * @param table - table's name
   * @param key - row's key
   * @returns the row, if it exists
   */
  get(table: string, key: string): SqlRow | undefined {
    const own = this.rows.get(table)?.get(key);
    if (own !== undefined) return own ?? undefined;
    return this.definitions.has(table) ? undefined : this.store.rowsOf(table).get(key);
  }

  /**
   * @param table - table's name
   * @returns every row with its key
   */
  *scan(table: string): Generator<[string, SqlRow]> {
    const own = this.rows.get(table);
    if (!this.definitions.has(table)) {
      for (const [key, row] of this.store.rowsOf(table)) if (!own?.has(key)) yield [key, row];
    }
    for (const [key, row] of own ?? []) if (row !== null) yield [key, row];
  }

  /** Makes a table. */
  createTable(definition: TableDefinition): void {
    this.definitions.set(definition.name, definition);
    this.rows.set(definition.name, new Map());
    this.changes.push({ kind: 'create', definition });
  }

  /** Removes a table. */
  dropTable(name: string): void {
    this.definitions.set(name, null);
    this.rows.delete(name);
    this.changes.push({ kind: 'drop', table: name });
  }

  /** Sets a row. */
  put(table: string, key: string, row: SqlRow): void {
    this.writeRow(table, key, row);
    this.changes.push({ kind: 'put', table, key, row });
  }

  /** Removes a row. */
  delete(table: string, key: string): void {
    this.writeRow(table, key, null);
    this.changes.push({ kind: 'delete', table, key });
  }

  /** @returns the next number of a table's series */
  takeSerial(table: string): number {
    return this.store.takeSerial(table);
  }

  private writeRow(table: string, key: string, row: SqlRow | null): void {
    const own = this.rows.get(table) ?? new Map<string, SqlRow | null>();
    own.set(key, row);
    this.rows.set(table, own);
  }
}
