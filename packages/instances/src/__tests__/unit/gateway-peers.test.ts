import test from 'ava';
import {
	DaemonRole, describePeers, isHello, HelloKind, listGatewaysForCallers, type DaemonRecord, type GatewayLeaving,
} from '../../index.js';

const createCard = (name: string, leaving?: GatewayLeaving): DaemonRecord => ({
	name, role: DaemonRole.Gateway, incarnation: 1, linkAddress: name, serviceAddress: name, availabilityZone: 'z', isReady: leaving === undefined, sequence: 0, leaving,
});
const first = createCard('first', {sinceWallMs: 100, isAccepting: false});
const second = createCard('second', {sinceWallMs: 200, isAccepting: true});
const third = createCard('third', {sinceWallMs: 200, isAccepting: true});
const ready = createCard('ready');
const starting = {...createCard('starting'), isReady: false};

test('gateways that stop are ordered by the time at which they were told, then by name', t => {
	const cards = [third, ready, first, second];
	t.deepEqual(describePeers(cards, second), {
		known: 4, ready: 1, acceptingAfter: 1, ending: 1,
	});
	t.deepEqual(describePeers(cards, third), {
		known: 4, ready: 1, acceptingAfter: 0, ending: 1,
	});
	t.deepEqual(describePeers([], second), {
		known: 1, ready: 0, acceptingAfter: 0, ending: 0,
	}, 'a coordinator that does not know the one that asks counts it');
});

test('callers are sent to gateways that stop only while too few are ready', t => {
	const listNames = (cards: readonly DaemonRecord[]) => listGatewaysForCallers(cards).map(card => card.name);
	t.deepEqual(listNames([first, second, ready, createCard('ready-2')]), ['ready', 'ready-2']);
	t.deepEqual(listNames([first, second, third, ready]), ['ready', 'third']);
	t.deepEqual(listNames([first, second, third]), ['third', 'second']);
	t.deepEqual(listNames([first, starting]), []);
});

test('a daemon of an older version says nothing of its stop', t => {
	const hello = {
		card: createCard('a'), greeting: HelloKind.PrimaryHome, publishedRevision: 0, configVersion: 0, newsAfter: undefined, wantsFleet: false,
	};
	t.true(isHello(hello));
	t.true(isHello({...hello, card: first}));
	t.false(isHello({...hello, card: {...first, leaving: {sinceWallMs: -1, isAccepting: true}}}));
});
