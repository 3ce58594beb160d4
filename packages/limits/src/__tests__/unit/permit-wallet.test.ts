import test from 'ava';
import {
	applyPermitAnswer, setClosedUntil, decidePermit, emptyPermitWallet, isPermitUsable, PermitDecision, clearClosedUntil, depositPermit, takeSparePermit,
} from '../../permit-wallet.js';

const need = {perSecond: 3, maxWaitMs: 0, nowMs: 1000};

test('an instance without a limit needs no permit, one with a limit is asked for', t => {
	t.is(decidePermit(emptyPermitWallet, {...need, perSecond: undefined}), PermitDecision.Unlimited);
	t.is(decidePermit(emptyPermitWallet, need), PermitDecision.Ask);
});

test('a refused daemon asks again once a permit is to be had within the wait that the request can bear', t => {
	const {wallet, permit} = applyPermitAnswer(emptyPermitWallet, {startInMs: undefined, retryInMs: 400}, {perSecond: 3, askedAtMs: 995, nowMs: 1000});
	t.is(permit, undefined);
	t.is(decidePermit(wallet, need), PermitDecision.Closed);
	t.is(decidePermit(wallet, {...need, maxWaitMs: 450}), PermitDecision.Ask);
	t.is(decidePermit(wallet, {...need, nowMs: 1400}), PermitDecision.Ask);
	t.is(decidePermit(clearClosedUntil(wallet), need), PermitDecision.Ask);
	t.is(decidePermit(setClosedUntil(wallet, 5000), {...need, nowMs: 1400}), PermitDecision.Closed);
});

test('an answer that comes late, as from a process that was frozen, grants nothing', t => {
	const {permit} = applyPermitAnswer(emptyPermitWallet, {startInMs: 0, retryInMs: 300}, {perSecond: 3, askedAtMs: 0, nowMs: 4});
	t.deepEqual(permit, {perSecond: 3, startAtMs: 0, endAtMs: 250});
	t.is(applyPermitAnswer(emptyPermitWallet, {startInMs: 0, retryInMs: 300}, {perSecond: 3, askedAtMs: 0, nowMs: 3000}).permit, undefined);
});

test('a permit is void before it begins, after it ends and once the limit has fallen', t => {
	const permit = {perSecond: 10, startAtMs: 1000, endAtMs: 1250};
	t.true(isPermitUsable(permit, {perSecond: 10, nowMs: 1100}));
	t.true(isPermitUsable(permit, {perSecond: 9.5, nowMs: 1100}));
	t.false(isPermitUsable(permit, {perSecond: 2, nowMs: 1100}));
	t.false(isPermitUsable(permit, {perSecond: 10, nowMs: 999}));
	t.false(isPermitUsable(permit, {perSecond: 10, nowMs: 1251}));
});

test('the permit of a request that ended before it was sent serves the next one, once', t => {
	const wallet = depositPermit(emptyPermitWallet, {perSecond: 3, startAtMs: 900, endAtMs: 1150}, 1000);
	t.is(decidePermit(wallet, need), PermitDecision.UseSpare);
	const rest = takeSparePermit(wallet, need);
	t.is(decidePermit(rest, need), PermitDecision.Ask);
	t.is(decidePermit(wallet, {...need, nowMs: 1200}), PermitDecision.Ask);
});
