/**
What a request to a copy holder was for, and how it was answered where that changes
what it costs.
*/

/**
`reserve-complete`: a reservation that is sent again with what the disk lacked. `reserve-declined`: one that was not stored, since the budget is used up.
`settle-incomplete`: the disk lacks turns of the chain; `settle-chain`: a settlement that brings them. `read-missing`: the disk lacks the turn. `find`: a turn whose replica group is not known.
`refused`: the disk did not take a write. `wrong-holders`: the sender uses another list.
*/
export type CopyRequestKind =
	| 'reserve' | 'reserve-complete' | 'reserve-declined'
	| 'settle' | 'settle-incomplete' | 'settle-chain'
	| 'read' | 'read-missing' | 'find'
	| 'record-origin' | 'read-origin' | 'read-output'
	| 'refused' | 'wrong-holders' | 'copying';
