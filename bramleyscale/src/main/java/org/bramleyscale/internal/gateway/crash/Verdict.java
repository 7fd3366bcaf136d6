package org.bramleyscale.internal.gateway.crash;

/**
 * Whether a daemon may send a request, judged by the crashes of endpoints that ran it.
 */
public enum Verdict {

	/** No endpoint has crashed under the request since it last ran to completion. */
	CLEAR,

	/**
	 * Too few endpoints have crashed under the request to distinguish it from others in
	 * flight there.
	 */
	SUSPECT,

	/** The request may be sent once more, by one daemon of the fleet at a time. */
	TRIAL,

	/**
	 * A check or trial is in progress; whether the request may be sent is known shortly.
	 */
	WAIT,

	/**
	 * The endpoint of its last trial has crashed as well; the request is no longer sent.
	 */
	BLOCKED

}
