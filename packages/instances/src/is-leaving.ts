import {InstanceStage, type InstanceRecord} from './types.js';

/**
Whether an instance takes no further requests.

@example
```
isLeaving({stage: InstanceStage.Draining}); //=> true
```
*/
export function isLeaving({stage}: Pick<InstanceRecord, 'stage'>): boolean {
	return stage !== InstanceStage.Ready;
}
