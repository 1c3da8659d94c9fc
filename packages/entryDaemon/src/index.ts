export * from './entryDaemon.js';
