import eslint from '@eslint/js';
import prettier from 'eslint-config-prettier';
import tseslint from 'typescript-eslint';

/**
 * Modules for input, output and timers. Decision logic must not import them: time, random numbers
 * and messages are passed in by its callers.
 */
const IO_MODULES = [
  'net',
  'fs',
  'http',
  'https',
  'tls',
  'timers',
  'dgram',
  'child_process',
  'worker_threads',
  'cluster',
].flatMap((name) => [name, `node:${name}`]);

/** Names of the users' platform; only the adapter in platform/ may contain them. */
const PLATFORM_NAMES =
  '/X-Heatherledge|kv-(txn|watch|range|key|lease|keep)|op\\/config|HEATHERLEDGE_NODE_FILE|bounded_staleness|read_own_writes|WAITFOR|STEPDOWN|CONNLIMIT|READONLY/';

const getSourceGlobs = (name) => [`packages/${name}/src/**/*.ts`];

/** Rules of the Airbnb style guide that the recommended sets leave out. */
const airbnbRules = {
  'array-callback-return': 'error',
  'consistent-return': 'off',
  curly: ['error', 'multi-line'],
  'default-case': 'off',
  eqeqeq: ['error', 'always'],
  'no-console': 'error',
  'no-else-return': ['error', { allowElseIf: false }],
  'no-lonely-if': 'error',
  'no-multi-assign': 'error',
  'no-nested-ternary': 'error',
  'no-param-reassign': 'error',
  'no-plusplus': 'error',
  'no-return-assign': ['error', 'always'],
  'no-unneeded-ternary': 'error',
  'no-useless-rename': 'error',
  'no-var': 'error',
  'object-shorthand': ['error', 'always'],
  'one-var': ['error', 'never'],
  'operator-assignment': ['error', 'always'],
  'prefer-const': 'error',
  'prefer-destructuring': ['error', { VariableDeclarator: { object: true, array: false } }],
  'prefer-exponentiation-operator': 'error',
  'prefer-template': 'error',
  radix: 'error',
  yoda: 'error',
};

export default tseslint.config(
  { ignores: ['**/dist/**', '**/node_modules/**', 'results/**', 'target/**', 'journal/**'] },
  eslint.configs.recommended,
  ...tseslint.configs.recommended,
  prettier,
  {
    rules: {
      ...airbnbRules,
      '@typescript-eslint/consistent-type-imports': ['error', { fixStyle: 'inline-type-imports' }],
      '@typescript-eslint/naming-convention': [
        'error',
        { selector: 'typeLike', format: ['PascalCase'] },
        { selector: 'function', format: ['camelCase'] },
      ],
      '@typescript-eslint/no-unused-vars': ['error', { argsIgnorePattern: '^_' }],
      '@typescript-eslint/no-empty-function': 'off',
      'max-lines': ['error', { max: 420, skipBlankLines: true, skipComments: true }],
    },
  },
  {
    files: ['scripts/*.cjs'],
    languageOptions: {
      sourceType: 'commonjs',
      globals: {
        __dirname: 'readonly',
        module: 'writable',
        process: 'readonly',
        require: 'readonly',
      },
    },
    rules: { '@typescript-eslint/no-require-imports': 'off' },
  },
  {
    files: getSourceGlobs('core'),
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: IO_MODULES,
          patterns: ['@heatherledge/*'],
        },
      ],
      'no-restricted-globals': [
        'error',
        'Date',
        'setTimeout',
        'setInterval',
        'setImmediate',
        'performance',
        'process',
        'fetch',
      ],
      'no-restricted-properties': ['error', { object: 'Math', property: 'random' }],
    },
  },
  {
    files: getSourceGlobs('wire'),
    rules: {
      'no-restricted-imports': ['error', { paths: IO_MODULES, patterns: ['@heatherledge/*'] }],
    },
  },
  {
    files: getSourceGlobs('daemon'),
    ignores: ['packages/daemon/src/embedded/**', 'packages/daemon/src/bin/embedded.ts'],
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: ['child_process', 'node:child_process'],
          patterns: ['@heatherledge/stand-ins', '@heatherledge/lab', '@heatherledge/cli'],
        },
      ],
    },
  },
  {
    files: getSourceGlobs('cli'),
    rules: {
      'no-restricted-imports': [
        'error',
        { patterns: ['@heatherledge/stand-ins', '@heatherledge/lab', '@heatherledge/daemon'] },
      ],
    },
  },
  {
    files: [...getSourceGlobs('core'), ...getSourceGlobs('gateway'), ...getSourceGlobs('daemon')],
    rules: {
      'no-restricted-syntax': [
        'error',
        {
          selector: `Literal[value=${PLATFORM_NAMES}], TemplateElement[value.raw=${PLATFORM_NAMES}]`,
          message: "Names of the users' platform belong in platform/.",
        },
      ],
    },
  },
  {
    files: getSourceGlobs('gateway'),
    rules: {
      'no-restricted-imports': [
        'error',
        {
          paths: ['child_process', 'node:child_process'],
          patterns: ['@heatherledge/platform', '@heatherledge/stand-ins', '@heatherledge/lab'],
        },
      ],
    },
  },
  {
    files: ['scripts/*.mjs'],
    languageOptions: { globals: { URL: 'readonly' } },
  },
  {
    // The syntax trees of the PostgreSQL parser have no types here.
    files: ['packages/stand-ins/src/**/*.ts', 'packages/daemon/src/sql/*.ts'],
    rules: { '@typescript-eslint/no-explicit-any': 'off' },
  },
);
