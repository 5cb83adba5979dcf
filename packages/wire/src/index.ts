export * from './backend-messages.js';
export * from './frame-splitter.js';
export * from './frontend-messages.js';
