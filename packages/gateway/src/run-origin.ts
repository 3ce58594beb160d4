import {type InstanceRecord} from '@fescuestair/instances';
import {type StreamOrigin} from '@fescuestair/streams';
import {type InstancePool} from './instance-pool.js';

/**
Tells what writes the events of a run that was sent to an instance by a record of it. Unknown where the instance has since been announced with other software under the same id:
the run may have reached either process.

@example
```
describeRunOrigin(instancePool, entry.held.record); //=> {service: 'app', softwareVersion: 'v1'}
```
*/
export function describeRunOrigin(instancePool: Pick<InstancePool, 'get'>, record: InstanceRecord): StreamOrigin {
	const newest = instancePool.get(record.id)?.held.record ?? record;
	const isSame = newest.incarnation === record.incarnation || newest.softwareVersion === record.softwareVersion;

	return {service: record.service, softwareVersion: isSame ? record.softwareVersion : undefined};
}
