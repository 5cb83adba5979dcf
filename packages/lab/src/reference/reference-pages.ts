/** Reference pages that are generated from the code. */
import { ERROR_CATALOG, type ErrorEntry } from '@heatherledge/core';
import { Metrics, processSettingsSchema } from '@heatherledge/daemon';

/** A generated page. */
export interface ReferencePage {
  readonly file: string;
  readonly text: string;
}

interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
}

const NOTE = 'Generated from the code by `npm run docs`; do not edit.';

/** @returns all pages */
export async function createReferencePages(): Promise<ReferencePage[]> {
  return [
    { file: 'docs/ERRORS.md', text: createErrorsPage() },
    { file: 'docs/SETTINGS.md', text: createSettingsPage() },
    { file: 'docs/METRICS.md', text: await createMetricsPage() },
  ];
}

function createErrorsPage(): string {
  const rows = ERROR_CATALOG.map((entry: ErrorEntry<never>) => {
    const { name, sqlState, outcome, title, hint } = entry;
    return `| ${name} | ${sqlState} | ${outcome} | ${title} | ${hint} |`;
  });
  return createPage('Errors', [
    'Every error that a caller or operator can meet. The outcome says what is certain: `not-run`,',
    '`done` or `unknown`. It is sent as the detail of the error.',
    '',
    '| name | SQLSTATE | outcome | what it says | hint |',
    '| --- | --- | --- | --- | --- |',
    ...rows,
  ]);
}

function createSettingsPage(): string {
  const schema = processSettingsSchema.toJSONSchema({ io: 'input' }) as JsonSchema;
  return createPage('Settings of a process', [
    'JSON with comments. Unknown keys are errors. `heatherledged --settings FILE --check` tells all',
    'problems together with file, line and path.',
    '',
    '| key | type | default | what it does |',
    '| --- | --- | --- | --- |',
    ...listRows('', schema),
  ]);
}

function listRows(prefix: string, schema: JsonSchema): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, part]) => {
    const key = prefix === '' ? name : `${prefix}.${name}`;
    const type = part.enum === undefined ? (part.type ?? '') : part.enum.join(', ');
    const isRequired = schema.required?.includes(name) ?? false;
    const fallback = isRequired ? 'required' : formatDefault(part.default);
    const row = `| \`${key}\` | ${type} | ${fallback} | ${part.description ?? ''} |`;
    return [row, ...listRows(key, part)];
  });
}

function formatDefault(value: unknown): string {
  if (value === undefined || (typeof value === 'object' && value !== null)) return '';
  return `\`${JSON.stringify(value)}\``;
}

async function createMetricsPage(): Promise<string> {
  const all = await new Metrics().registry.getMetricsAsJSON();
  const own = all.filter(({ name }) => name.startsWith('heatherledge_'));
  const rows = own.map(({ name, type, help }) => `| \`${name}\` | ${type} | ${help} |`);
  return createPage('Metrics', [
    'Served at `/metrics` of the administration port, with the usual ones of Node.js beside them.',
    '',
    '| name | type | what it counts |',
    '| --- | --- | --- |',
    ...rows,
  ]);
}

function createPage(title: string, lines: readonly string[]): string {
  return `${[`# ${title}`, '', NOTE, '', ...lines].join('\n')}\n`;
}
