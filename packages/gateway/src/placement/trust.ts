/**
Whether an upstream's last answers allow a call to be sent there.
*/

/** `trial`: one call at a time may be sent. `suspended`: none, unless there is no other upstream. */
export type Trust = 'trusted' | 'trial' | 'suspended';
