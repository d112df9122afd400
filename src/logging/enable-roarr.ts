import process from 'node:process';

// Roarr decides when it is loaded whether it logs at all, so this module is imported before it.
process.env.ROARR_LOG = 'true';
