import {
	createMemoryBudget,
	type MemoryBudget,
	type MemoryBudgetOptions,
} from '../../src/memory-budget/index.ts';
import {silentLogger} from '../../src/logging/index.ts';

/**
A budget of 1 MB whose clock stands still.
*/
export const budgetOf = (
	change: Partial<MemoryBudgetOptions> = {},
): MemoryBudget =>
	createMemoryBudget({
		limitBytes: 1_000_000,
		otherBytes: () => 0,
		clock: () => 0,
		logger: silentLogger,
		...change,
	});
