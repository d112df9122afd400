/**
Version of this build; equals the version in package.json.
*/
export const version = '0.1.0';
