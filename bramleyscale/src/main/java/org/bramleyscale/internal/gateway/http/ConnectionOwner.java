package org.bramleyscale.internal.gateway.http;

import java.time.Duration;

import org.bramleyscale.internal.gateway.backend.EndpointStart;

/**
 * Keeps connections while they carry no request. Confined to the loop's thread.
 */
interface ConnectionOwner {

	/**
	 * Takes back a connection whose request has been answered.
	 * @param endpoint the endpoint
	 * @param connection the connection, which may be used again
	 */
	void release(EndpointStart endpoint, BackendChannel connection);

	/**
	 * Called when a connection is closed.
	 * @param endpoint the endpoint
	 * @param connection the connection
	 */
	void remove(EndpointStart endpoint, BackendChannel connection);

	/**
	 * Called when bytes were read that belong to no response, on a connection that has
	 * carried requests.
	 * @param endpoint the endpoint
	 * @param cause what was read
	 */
	void strayBytes(EndpointStart endpoint, String cause);

	/**
	 * Runs a task later.
	 * @param delay the delay
	 * @param task the task
	 */
	void schedule(Duration delay, Runnable task);

}
