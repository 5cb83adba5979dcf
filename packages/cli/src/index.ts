export * from './cli/check/check-command.js';
export * from './core/exit-codes.js';
export * from './core/output.js';
export * from './cli/settings/settings-commands.js';
export * from './core/admin-client.js';
