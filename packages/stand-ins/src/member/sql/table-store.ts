import { SqlError, type SqlRow, type SqlType } from './values.js';

/** A column of a table. */
export interface ColumnDefinition {
  readonly name: string;
  readonly type: SqlType;
  readonly notNull: boolean;
  /** Whether the default is the table's next serial value. */
  readonly serial: boolean;
  /** Parse tree of the default expression, if any. */
  readonly defaultValue?: unknown;
}

/** The definition of a table. */
export interface TableDefinition {
  readonly name: string;
  readonly columns: readonly ColumnDefinition[];
  /** Names of the key columns; empty if the table has no primary key. */
  readonly primaryKey: readonly string[];
}

/** One change of a transaction, as it is written to the log, replicated and applied. */
export type TableChange =
  | { readonly kind: 'create'; readonly definition: TableDefinition }
  | { readonly kind: 'drop'; readonly table: string }
  | { readonly kind: 'put'; readonly table: string; readonly key: string; readonly row: SqlRow }
  | { readonly kind: 'delete'; readonly table: string; readonly key: string };

interface Table {
  readonly definition: TableDefinition;
  /** Rows by encoded key. */
  readonly rows: Map<string, SqlRow>;
  nextSerial: number;
}

/** The committed tables of one member. */
export class TableStore {
  private tables = new Map<string, Table>();

  /**
   * Applies a committed transaction.
   *
   * @param changes - the changes of the transaction, in order
   */
  apply(changes: readonly TableChange[]): void {
    for (const change of changes) this.applyChange(change);
  }

  /** Removes all tables before the store is rebuilt from the log. */
  clear(): void {
    this.tables = new Map();
  }

  /**
   * @param name - name of the table
   * @returns its definition, if it exists
   */
  findDefinition(name: string): TableDefinition | undefined {
    return this.tables.get(name)?.definition;
  }

  /**
   * @param name - name of the table
   * @returns its rows by encoded key; empty if the table does not exist
   */
  getRows(name: string): ReadonlyMap<string, SqlRow> {
    return this.tables.get(name)?.rows ?? new Map();
  }

  /**
   * Allocates the next serial value of a table. A value is not allocated again after its
   * transaction was rolled back.
   *
   * @param name - name of the table
   * @returns the value; always 1 for a table whose creation is not committed
   */
  allocateSerial(name: string): number {
    const table = this.tables.get(name);
    if (table === undefined) return 1;
    const serial = table.nextSerial;
    table.nextSerial += 1;
    return serial;
  }

  private applyChange(change: TableChange): void {
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

  /** Sets a row and moves the serial counter past the row's serial values. */
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

/** A transaction's view of the tables: its uncommitted changes on top of the committed state. */
export class TableOverlay {
  private readonly changes: TableChange[] = [];

  /** Changed rows by table and key; null marks a deleted row. */
  private readonly rows = new Map<string, Map<string, SqlRow | null>>();

  /** Created and dropped tables; null marks a dropped table. */
  private readonly definitions = new Map<string, TableDefinition | null>();

  /** @param store - the committed state that is read where the transaction changed nothing */
  constructor(private readonly store: TableStore) {}

  /** @returns the uncommitted changes, in order */
  get pending(): readonly TableChange[] {
    return this.changes;
  }

  /**
   * @param name - name of the table
   * @returns its definition
   * @throws SqlError if the table does not exist
   */
  getDefinition(name: string): TableDefinition {
    const definition = this.findDefinition(name);
    if (!definition) throw new SqlError('42P01', `relation "${name}" does not exist`);
    return definition;
  }

  /**
   * @param name - name of the table
   * @returns its definition, if it exists
   */
  findDefinition(name: string): TableDefinition | undefined {
    if (this.definitions.has(name)) return this.definitions.get(name) ?? undefined;
    return this.store.findDefinition(name);
  }

  /**
   * @param table - name of the table
   * @param key - encoded key of the row
   * @returns the row, if it exists
   */
  get(table: string, key: string): SqlRow | undefined {
    const changedRow = this.rows.get(table)?.get(key);
    if (changedRow !== undefined) return changedRow ?? undefined;
    return this.definitions.has(table) ? undefined : this.store.getRows(table).get(key);
  }

  /**
   * @param table - name of the table
   * @returns every row with its encoded key
   */
  *scan(table: string): Generator<[string, SqlRow]> {
    const changed = this.rows.get(table);
    if (!this.definitions.has(table)) {
      for (const [key, row] of this.store.getRows(table)) if (!changed?.has(key)) yield [key, row];
    }
    for (const [key, row] of changed ?? []) if (row !== null) yield [key, row];
  }

  /** Creates a table. */
  createTable(definition: TableDefinition): void {
    this.definitions.set(definition.name, definition);
    this.rows.set(definition.name, new Map());
    this.changes.push({ kind: 'create', definition });
  }

  /** Drops a table. */
  dropTable(name: string): void {
    this.definitions.set(name, null);
    this.rows.delete(name);
    this.changes.push({ kind: 'drop', table: name });
  }

  /** Inserts or replaces a row. */
  put(table: string, key: string, row: SqlRow): void {
    this.writeRow(table, key, row);
    this.changes.push({ kind: 'put', table, key, row });
  }

  /** Deletes a row. */
  delete(table: string, key: string): void {
    this.writeRow(table, key, null);
    this.changes.push({ kind: 'delete', table, key });
  }

  /** Allocates the next serial value of a table, as {@link TableStore.allocateSerial} does. */
  allocateSerial(table: string): number {
    return this.store.allocateSerial(table);
  }

  private writeRow(table: string, key: string, row: SqlRow | null): void {
    const changed = this.rows.get(table) ?? new Map<string, SqlRow | null>();
    changed.set(key, row);
    this.rows.set(table, changed);
  }
}
