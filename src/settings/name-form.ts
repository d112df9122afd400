/**
The form of names of nodes and availability zones.
*/
export const nameForm = /^[\da-z][\d\-.a-z]{0,62}$/v;

/**
The form in words, for messages.
*/
export const nameAllowed =
	'lower-case letters, digits, "." and "-", at most 63 characters';
