const config = [
	{
		ignores: ['dist/**'],
	},
	{
		prettier: true,
	},
];

export default config;
