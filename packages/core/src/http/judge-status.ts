/**
Says what the status of an HTTP response is, by RFC 9110: three digits from 100 to 599,
of which the first hundred are interim.
*/
const MIN_INTERIM = 100;
const MIN_FINAL = 200;
const MAX_FINAL = 599;

/** `none`: no status, so what has it is no answer, whatever else it says. */
export const judgeStatus = (status: number): 'interim' | 'final' | 'none' => {
	if (status >= MIN_FINAL) {
		return status <= MAX_FINAL ? 'final' : 'none';
	}

	return status >= MIN_INTERIM ? 'interim' : 'none';
};
