export * from './cli/check/check-command.js';
export * from './core/exit-codes.js';
export * from './core/output.js';
