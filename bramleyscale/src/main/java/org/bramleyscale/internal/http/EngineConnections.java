package org.bramleyscale.internal.http;

import java.time.Duration;

import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.time.Clock;
import ratpack.http.client.HttpClient;

/**
 * Chooses the connections over which endpoints are called.
 *
 * <p>
 * Invariant: a kept connection is only used towards an endpoint at which none has lately
 * failed. Confined to the scheduler's thread.
 */
final class EngineConnections implements AutoCloseable {

	private static final int STREAM_POOL = 4096;

	private final HttpExecution http;

	private final HttpClient streams;

	private final SuspectConnections suspects;

	EngineConnections(Clock clock, HttpExecution http, Duration connectTimeout) {
		this.http = http;
		this.suspects = new SuspectConnections(clock, http.poolIdleTimeout());
		// A stream holds its connection until its end. In one pool with the short calls,
		// cancels and reports would wait behind the streams of a busy engine.
		this.streams = streamClient(http, connectTimeout);
	}

	private static HttpClient streamClient(HttpExecution http, Duration connectTimeout) {
		try {
			return HttpClient.of((spec) -> spec.execController(http.controller())
				.poolSize(STREAM_POOL)
				.idleTimeout(http.poolIdleTimeout())
				.connectTimeout(connectTimeout));
		}
		catch (Exception ex) {
			throw new IllegalStateException("the HTTP client for streams can't be configured", ex);
		}
	}

	HttpClient forStream(EndpointEntry endpoint) {
		return suspect(endpoint) ? fresh() : this.streams;
	}

	HttpClient forCall(EndpointEntry endpoint) {
		return suspect(endpoint) ? fresh() : this.http.client();
	}

	HttpClient fresh() {
		return this.http.freshClient();
	}

	/**
	 * Tells that a connection broke, went silent or took too long.
	 * @param endpoint the endpoint it led to
	 */
	void failed(EndpointEntry endpoint) {
		this.suspects.failed(endpoint.address());
	}

	@Override
	public void close() {
		this.streams.close();
	}

	private boolean suspect(EndpointEntry endpoint) {
		return this.suspects.suspect(endpoint.address());
	}

}
