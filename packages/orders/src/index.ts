export * from './constants.js';
export * from './orderContext.js';
export * from './orderCoordinator.js';
export * from './orderRegistry.js';
export * from './ticket.js';
export * from './types.js';
export * from './utils.js';
export * from './witnessService.js';
