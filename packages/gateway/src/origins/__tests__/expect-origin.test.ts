import {describe, expect, it} from 'vitest';
import type {Upstream} from '../../upstreams/upstream.js';
import {expectOrigin} from '../expect-origin.js';

const upstreams = (...versions: string[]) => versions.map(softwareVersion => ({service: 's', softwareVersion})) as unknown as readonly Upstream[];

describe('expectOrigin', () => {
	it('expects the only version of a service', () => {
		expect(expectOrigin('s', upstreams('v1', 'v1'))).toEqual({service: 's', version: 'v1'});
	});

	it('expects nothing while several versions or no upstream could run the request', () => {
		expect(expectOrigin('s', upstreams('v1', 'v2'))).toBeUndefined();
		expect(expectOrigin('s', upstreams())).toBeUndefined();
	});
});
