import type {Dispatcher} from 'undici';

/**
Code of the error of a call that was withdrawn before its first byte was written.
*/
export const withdrawnCode = 'ERR_CALL_WITHDRAWN';

/**
Builds an interceptor that withdraws a call unless it may still begin when it gets its connection.
*/
export const withdrawUnless =
	(canBegin: () => boolean): Dispatcher.DispatcherComposeInterceptor =>
	(dispatch) =>
	(options, handler) =>
		dispatch(options, {
			onRequestStart(controller, context) {
				if (canBegin()) {
					handler.onRequestStart?.(controller, context);
				} else {
					controller.abort(
						Object.assign(
							new Error('the call was withdrawn before it was sent'),
							{code: withdrawnCode},
						),
					);
				}
			},
			onResponseStart(...parameters) {
				handler.onResponseStart?.(...parameters);
			},
			onResponseData(...parameters) {
				handler.onResponseData?.(...parameters);
			},
			onResponseEnd(...parameters) {
				handler.onResponseEnd?.(...parameters);
			},
			onResponseError(...parameters) {
				handler.onResponseError?.(...parameters);
			},
		});
