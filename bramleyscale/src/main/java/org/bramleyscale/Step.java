package org.bramleyscale;

/**
 * The step of a request's life, or of a control action, at which something happened.
 */
public enum Step {

	/** Reading the caller's request. */
	RECEIVE,

	/** Finding the client account. */
	AUTHENTICATE,

	/** Deciding whether to take the request. */
	ADMIT,

	/** Waiting for room. */
	QUEUE,

	/** Choosing an endpoint. */
	ROUTE,

	/** Reserving memory on a group of engines. */
	RESERVE,

	/** Passing the request to the daemon that issued its id. */
	FORWARD,

	/** Connecting to an endpoint. */
	CONNECT,

	/** Handing the request to an endpoint. */
	START,

	/** Receiving the answer. */
	STREAM,

	/** Continuing to read an answer. */
	RESUME,

	/** Cancelling the request. */
	CANCEL,

	/** Calling the platform's object API. */
	PLATFORM,

	/** Changing the configuration. */
	CONFIGURE,

	/** Taking or renewing a lease. */
	LEASE,

	/** Ordering an endpoint to change. */
	ORDER,

	/** Reading the daemon's settings. */
	SETTINGS

}
