/**
Builds the schema of a name or id, such as that of a host, data centre, upstream
or operator.
*/
import * as z from 'zod';

const NAME_PATTERN = /^[\p{L}\p{N}][\p{L}\p{N}._\-]{0,62}$/v;
const NAME_ERROR = 'a name of 1 to 63 letters, digits, dots, hyphens and underscores that begins with a letter or digit';

/** A name of 1 to 63 letters, digits, dots, hyphens and underscores that begins with a letter or digit. */
export const buildNameSchema = () => z.string({error: NAME_ERROR}).regex(NAME_PATTERN, {error: NAME_ERROR});
