/**
Configuration document as plain JSON data.
*/
export type ConfigurationDocument = {
	version: number;
	regions: Array<{name: string; availabilityZones: string[]}>;
	services: Array<{kind: string; name: string}>;
	backendServers: Array<{
		id: string;
		service: string;
		availabilityZone: string;
		address: string;
		slots: number;
	}>;
	[key: string]: unknown;
};
