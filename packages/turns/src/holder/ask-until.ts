/**
Asks several holders at the same time until enough of them have agreed.
*/
import type {Holder} from '../membership/holder.js';

/** Resolves to `true` as soon as `isEnough` accepts the disk ids of the holders for which `ask` resolved to `true`, and to `false` once all have answered without that. */
export const askUntil = async (holders: readonly Holder[], ask: (holder: Holder) => Promise<boolean>, isEnough: (agreed: ReadonlySet<string>) => boolean): Promise<boolean> => new Promise((resolve, reject) => {
	const agreed = new Set<string>();
	const askOne = async (holder: Holder): Promise<void> => {
		if (await ask(holder)) {
			agreed.add(holder.diskId);
			if (isEnough(agreed)) {
				resolve(true);
			}
		}
	};

	const askAll = async (): Promise<void> => {
		try {
			await Promise.all(holders.map(async holder => askOne(holder)));
			resolve(isEnough(agreed));
		} catch (error) {
			reject(error instanceof Error ? error : new Error(String(error)));
		}
	};

	void askAll();
});
