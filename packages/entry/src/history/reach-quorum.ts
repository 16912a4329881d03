/**
Waits for enough of several replies.
*/

type QuorumOutcome<Reply> = {
	readonly reached: boolean;
	/** Replies that had arrived when the outcome was certain. */
	readonly replies: readonly Reply[];
};

/** Resolves as soon as `needed` replies are good or that can no longer happen. An undefined reply stands for none. */
export const reachQuorum = async <Reply>(
	asked: ReadonlyArray<Promise<Reply | undefined>>,
	isGood: (reply: Reply) => boolean,
	needed: number,
): Promise<QuorumOutcome<Reply>> => new Promise(resolve => {
	const replies: Reply[] = [];
	let good = 0;
	let pending = asked.length;
	const check = () => {
		if (good >= needed || good + pending < needed) {
			resolve({reached: good >= needed, replies});
		}
	};

	const count = async (reply: Promise<Reply | undefined>) => {
		const value = await reply;
		pending--;
		if (value !== undefined) {
			replies.push(value);
			good += isGood(value) ? 1 : 0;
		}

		check();
	};

	check();
	for (const reply of asked) {
		void count(reply);
	}
});
