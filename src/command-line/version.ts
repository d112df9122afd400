/**
Version of this build, as in package.json.
*/
export const version = '0.1.0';
