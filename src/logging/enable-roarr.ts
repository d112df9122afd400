import process from 'node:process';

// Roarr reads this variable when it is loaded, so this module must be imported before it.
process.env.ROARR_LOG = 'true';
