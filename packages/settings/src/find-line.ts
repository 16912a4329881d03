/**
Finds the line of a setting in a YAML document.
*/
import {
	isMap, isNode, isScalar, isSeq, type LineCounter,
} from 'yaml';

type ChildNode = {readonly offset: number; readonly child: unknown};

const findChild = (node: unknown, key: PropertyKey): ChildNode | undefined => {
	if (isMap(node)) {
		const pair = node.items.find(item => isScalar(item.key) && String(item.key.value) === String(key));
		return pair && isNode(pair.key) && pair.key.range ? {offset: pair.key.range[0], child: pair.value} : undefined;
	}

	const child: unknown = isSeq(node) ? node.items[Number(key)] : undefined;
	return isNode(child) && child.range ? {offset: child.range[0], child} : undefined;
};

/** Returns the line, from 1, of the deepest part of `path` that exists in the document. */
export const findLine = (doc: {readonly contents: unknown}, lines: LineCounter, path: readonly PropertyKey[]): number => {
	let node = doc.contents;
	let offset = isNode(node) ? node.range?.[0] ?? 0 : 0;
	for (const key of path) {
		const found = findChild(node, key);
		if (!found) {
			break;
		}

		({offset, child: node} = found);
	}

	return Math.max(1, lines.linePos(offset).line);
};
