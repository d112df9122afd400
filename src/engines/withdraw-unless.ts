import type {Dispatcher} from 'undici';

/**
Error code of a call that was withdrawn before its first byte was written.
*/
export const withdrawnCode = 'ERR_CALL_WITHDRAWN';

/**
Creates an interceptor that withdraws a call if `canBegin` returns false once the call has obtained its connection.
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
