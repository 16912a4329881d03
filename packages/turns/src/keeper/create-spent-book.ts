/**
Remembers which programs have spent their budget, so that they are refused
without asking the holders again.

Pattern of load: a program that loops starts turn after turn for as long as it
is let; each one that is refused would cost a reservation and its return on
every holder's disk. What a program's ended turns used only grows, so a refusal
that rests on these alone stays right; reservations of turns that may yet end
with less are not counted.
*/

/** Programs kept; the one refused longest ago is forgotten first, and the holders are asked again. */
const MAX_PROGRAMS = 5000;

/** Creates a book without entries. */
export const createSpentBook = () => {
	const settledByProgram = new Map<string, number>();
	return {
		/** `settledTokens` is what its ended turns used, as far as holders told. */
		note(program: string, settledTokens: number): void {
			const known = settledByProgram.get(program) ?? 0;
			settledByProgram.delete(program);
			settledByProgram.set(program, Math.max(known, settledTokens));
			const [oldest] = settledByProgram.keys();
			if (settledByProgram.size > MAX_PROGRAMS && oldest !== undefined) {
				settledByProgram.delete(oldest);
			}
		},
		/** Whether `tokens` more certainly pass the budget. */
		isSpent: (program: string, tokens: number, budget: number): boolean => (settledByProgram.get(program) ?? 0) + tokens > budget,
	};
};
