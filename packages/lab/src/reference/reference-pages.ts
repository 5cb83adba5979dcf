import { ERROR_CATALOG, type ErrorEntry } from '@heatherledge/core';
import { Metrics, processSettingsSchema } from '@heatherledge/daemon';

/** A reference page generated from the code. */
export interface ReferencePage {
  /** Path relative to the repository's root. */
  readonly file: string;
  readonly text: string;
}

/** The parts of a JSON schema that the settings page shows. */
interface JsonSchema {
  readonly type?: string;
  readonly description?: string;
  readonly default?: unknown;
  readonly enum?: readonly unknown[];
  readonly properties?: Readonly<Record<string, JsonSchema>>;
  readonly required?: readonly string[];
}

const GENERATED_NOTICE = 'Generated from the code by `npm run docs`; do not edit.';

/**
 * Creates the reference pages of the errors, process settings and metrics.
 *
 * @returns all pages
 */
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
    ...listSettingRows('', schema),
  ]);
}

/** Creates a row for each key of the schema, each followed by the rows of its nested keys. */
function listSettingRows(prefix: string, schema: JsonSchema): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([name, property]) => {
    const key = prefix === '' ? name : `${prefix}.${name}`;
    const type = property.enum === undefined ? (property.type ?? '') : property.enum.join(', ');
    const isRequired = schema.required?.includes(name) ?? false;
    const defaultText = isRequired ? 'required' : formatDefault(property.default);
    const row = `| \`${key}\` | ${type} | ${defaultText} | ${property.description ?? ''} |`;
    return [row, ...listSettingRows(key, property)];
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
  return `${[`# ${title}`, '', GENERATED_NOTICE, '', ...lines].join('\n')}\n`;
}
