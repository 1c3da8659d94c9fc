import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  {
    ignores: [
      '**/node_modules/**',
      'packages/protocol/src/gen/**',
      'reports/**',
      'target/**',
      '**/bin/*.js',
      '.ci/*.{cjs,mjs}',
    ],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.base.typescript,
  ...configs.node.recommended,
  prettier,
  {
    // The root manifest states the supported version; the rule looks at the package's own.
    settings: { node: { version: '>=20.18.0' } },
    languageOptions: {
      parserOptions: { projectService: { allowDefaultProject: ['eslint.config.js'] } },
    },
    rules: {
      // Tasks for a connection or a peer are loops that wait in each round.
      'no-await-in-loop': 'off',
      // Iterators are native on Node 20; only the label and `with` restrictions still apply.
      'no-restricted-syntax': ['error', 'ForInStatement', 'LabeledStatement', 'WithStatement'],
      'no-continue': 'off',
      'import-x/prefer-default-export': 'off',
      // Node's ESM resolution needs the extension.
      'import-x/extensions': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'import-x/no-cycle': ['error', { maxDepth: 10 }],
      '@typescript-eslint/consistent-type-imports': 'error',
      '@typescript-eslint/switch-exhaustiveness-check': 'error',
      'no-underscore-dangle': 'off',
      'n/no-unsupported-features/node-builtins': 'off',
      'no-plusplus': ['error', { allowForLoopAfterthoughts: true }],
    },
  },
  {
    files: ['**/tests/**/*.ts'],
    rules: {
      // chai assertions such as `.to.be.true` are expressions.
      '@typescript-eslint/no-unused-expressions': 'off',
    },
  },
];
