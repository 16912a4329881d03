/**
Waits for a quorum of successful replies.
*/

type QuorumOutcome<Reply> = {
	readonly isReached: boolean;
	/** The replies, successful or not, that had arrived when the outcome was certain. */
	readonly replies: readonly Reply[];
};

/** Resolves as soon as `needed` replies have succeeded, or as soon as that can no longer happen. An undefined reply means that none arrived. */
export const reachQuorum = async <Reply>(
	asked: ReadonlyArray<Promise<Reply | undefined>>,
	isSuccess: (reply: Reply) => boolean,
	needed: number,
): Promise<QuorumOutcome<Reply>> => new Promise(resolve => {
	const replies: Reply[] = [];
	let successes = 0;
	let pending = asked.length;
	const check = () => {
		if (successes >= needed || successes + pending < needed) {
			resolve({isReached: successes >= needed, replies});
		}
	};

	const count = async (reply: Promise<Reply | undefined>) => {
		const value = await reply;
		pending--;
		if (value !== undefined) {
			replies.push(value);
			successes += isSuccess(value) ? 1 : 0;
		}

		check();
	};

	check();
	for (const reply of asked) {
		void count(reply);
	}
});
