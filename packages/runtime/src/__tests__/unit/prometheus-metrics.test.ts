import test from 'ava';
import {createPrometheusMetrics, openMetricsListener} from '../../index.js';

test('counters, histograms and gauges are served in the Prometheus text format', async t => {
	const metrics = createPrometheusMetrics();
	metrics.count('requests_total', {outcome: 'answered'});
	metrics.count('requests_total', {outcome: 'answered'});
	metrics.observeMs('first_piece_ms', {kind: 'streaming'}, 42);
	metrics.registerGauge('config_version', 'Version in force', () => 7);
	const listener = await openMetricsListener(metrics, {listen: '127.0.0.1:0', path: '/metrics'});
	t.teardown(listener.close);
	const response = await fetch(`http://127.0.0.1:${listener.port}/metrics`);
	const text = await response.text();
	t.regex(text, /fescuestair_requests_total\{outcome="answered"\} 2/v);
	t.regex(text, /fescuestair_first_piece_ms_bucket\{le="50",kind="streaming"\} 1/v);
	t.regex(text, /fescuestair_config_version 7/v);
	const other = await fetch(`http://127.0.0.1:${listener.port}/`);
	t.is(other.status, 404);
});

test('the number of distinct values per label is limited', async t => {
	const metrics = createPrometheusMetrics();

	for (let index = 0; index < 1000; index++) {
		metrics.count('requests_total', {organisation: `o${index}`});
	}

	const text = await metrics.renderText();
	t.is(text.match(/requests_total\{/gv)?.length, 201);
	t.regex(text, /organisation="other"\} 800/v);
});

test('a gauge that cannot be read is answered with 500 and reported, and ends no process', async t => {
	const metrics = createPrometheusMetrics();
	const errors: unknown[] = [];
	metrics.registerGauge('config_version', 'Version in force', () => {
		throw new Error('no version');
	});
	const listener = await openMetricsListener(metrics, {
		listen: '127.0.0.1:0', path: '/metrics', onError(error) {
			errors.push(error);
		},
	});
	t.teardown(listener.close);
	const {status} = await fetch(`http://127.0.0.1:${listener.port}/metrics`);
	t.is(status, 500);
	t.regex(String(errors), /no version/v);
});
