package org.bramleyscale.internal.http;

import java.time.Duration;

/**
 * The limits of the server towards callers.
 *
 * @param threads how many HTTP threads it has
 * @param bodyBytes the largest body of a request
 * @param streamBufferBytes how many bytes of one answer may wait for a slow reader
 * @param keepAlive how often a stream without tokens sends a comment
 * @param idle how long a connection without a request stays open
 */
public record EntrySettings(int threads, int bodyBytes, long streamBufferBytes, Duration keepAlive, Duration idle) {

	/** Two threads, bodies of 32 MB, a quarter of a megabyte for each slow reader. */
	public static final EntrySettings DEFAULT = new EntrySettings(2, 32 << 20, 256 << 10, Duration.ofSeconds(10),
			Duration.ofSeconds(65));

	public EntrySettings {
		requirePositive("threads", threads);
		requirePositive("bodyBytes", bodyBytes);
		requirePositive("streamBufferBytes", streamBufferBytes);
		requirePositive("keepAlive", keepAlive.toMillis());
		requirePositive("idle", idle.toMillis());
	}

	private static void requirePositive(String name, long value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive, was " + value);
		}
	}

}
