/**
Renders the metrics of several runs as an SVG plot.
*/
import type {RunMetrics} from '../measure/run-metrics.js';

/** Sizes are in user units of the SVG's view box. */
const WIDTH = 900;
const ROW_HEIGHT = 26;
const PANEL_GAP = 60;
const LABEL_WIDTH = 170;
const SERIES_HEIGHT = 180;
const COLOURS = ['#2f6f9f', '#d0782a', '#5f9e4a', '#8a5fa8', '#b04a4a', '#777777'] as const;

const escapeText = (text: string): string => text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');
const drawText = (x: number, y: number, text: string, size = 12): string => `<text x="${x}" y="${y}" font-size="${size}">${escapeText(text)}</text>`;
const getColour = (index: number): string => COLOURS[index % COLOURS.length]!;

/** Draws one row per run; the bars of p50, p95 and p99 overlap in shades of one colour. */
const drawLatencyBars = (runs: readonly RunMetrics[], top: number): string => {
	const longest = Math.max(...runs.map(run => run.p99), 1);
	const scale = (WIDTH - LABEL_WIDTH - 200) / longest;
	const rows = runs.map((run, index) => {
		const y = top + (index * ROW_HEIGHT);
		const bars = [run.p99, run.p95, run.p50].map((ms, shade) =>
			`<rect x="${LABEL_WIDTH}" y="${y}" width="${(ms * scale).toFixed(1)}" height="18" fill="${getColour(index)}" opacity="${[0.25, 0.55, 1][shade]}"/>`);
		const figures = `${[run.p50, run.p95, run.p99].map(ms => (ms / 1000).toFixed(1)).join(' / ')} s`;
		return [drawText(10, y + 13, run.policy), ...bars, drawText(LABEL_WIDTH + (run.p99 * scale) + 8, y + 13, figures)].join('');
	});
	return rows.join('\n');
};

const drawWasteSeries = (runs: readonly RunMetrics[], top: number): string => {
	const width = WIDTH - LABEL_WIDTH - 40;
	const lines = runs.map((run, index) => {
		const step = width / Math.max(1, run.wastedSeries.length - 1);
		const points = run.wastedSeries.map((share, bucket) => `${(LABEL_WIDTH + (bucket * step)).toFixed(1)},${(top + (SERIES_HEIGHT * (1 - share))).toFixed(1)}`);
		return `<polyline points="${points.join(' ')}" fill="none" stroke="${getColour(index)}" stroke-width="2"/>`;
	});
	const frame = `<rect x="${LABEL_WIDTH}" y="${top}" width="${width}" height="${SERIES_HEIGHT}" fill="none" stroke="#cccccc"/>`;
	const legend = runs.map((run, index) => `<circle cx="16" cy="${top + 10 + (index * 20)}" r="5" fill="${getColour(index)}"/>${drawText(28, top + 14 + (index * 20), run.policy)}`);
	return [frame, drawText(LABEL_WIDTH - 36, top + 10, '100%', 11), drawText(LABEL_WIDTH - 22, top + SERIES_HEIGHT, '0%', 11), ...lines, ...legend].join('\n');
};

/** Returns a plot of program latency and of wasted cache over time, with one colour per policy. */
export const renderSvg = (title: string, runs: readonly RunMetrics[]): string => {
	const barsTop = 80;
	const seriesTop = barsTop + (runs.length * ROW_HEIGHT) + PANEL_GAP;
	const height = seriesTop + SERIES_HEIGHT + 30;
	return [
		`<svg xmlns="http://www.w3.org/2000/svg" viewBox="0 0 ${WIDTH} ${height}" font-family="sans-serif" fill="#222222">`,
		`<rect width="${WIDTH}" height="${height}" fill="#ffffff"/>`,
		drawText(10, 28, title, 16),
		drawText(10, 62, 'Program latency: p50, p95, p99', 13),
		drawLatencyBars(runs, barsTop),
		drawText(10, seriesTop - 14, 'Wasted cache as a share of engine memory over time', 13),
		drawWasteSeries(runs, seriesTop),
		'</svg>\n',
	].join('\n');
};
