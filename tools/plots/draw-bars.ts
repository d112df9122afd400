import * as vega from 'vega';
import {compile} from 'vega-lite';

/**
Data and fields of a bar chart.
*/
export type Bars = {
	readonly title: string;
	readonly values: ReadonlyArray<Readonly<Record<string, number | string>>>;
	/**
	Fields of the values for the horizontal axis, the vertical axis and the colour.
	*/
	readonly x: string;
	readonly y: string;
	readonly color: string;
	/**
	Fields with the lower and upper end of the error bar.
	*/
	readonly range?: {readonly low: string; readonly high: string};
};

// Size of the plot area without margins, in pixels.
const width = 720;
const height = 320;

/**
Draws a bar chart as SVG. Bars of different colours are stacked, or side by side if there is a range.
*/
export const drawBars = async (bars: Bars): Promise<string> => {
	const {title, values, x, y, color, range} = bars;
	const axis = {field: x, type: 'ordinal', sort: null} as const;
	const offset = range && {xOffset: {field: color}};
	const bar = {
		mark: 'bar',
		encoding: {
			x: axis,
			y: {field: y, type: 'quantitative'},
			color: {field: color, type: 'nominal', legend: {labelLimit: 320}},
			...offset,
		},
	} as const;
	const line = range && {
		mark: 'rule',
		encoding: {
			x: axis,
			y: {field: range.low, type: 'quantitative', title: y},
			y2: {field: range.high},
			...offset,
		},
	};
	const {spec} = compile({
		title,
		width,
		height,
		background: 'white',
		data: {values: values.map((value) => ({...value}))},
		layer: [bar, ...(line ? [line] : [])],
	} as Parameters<typeof compile>[0]);
	return new vega.View(vega.parse(spec)).toSVG();
};
