package org.bramleyscale.bench.fleet;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.OptionalLong;
import java.util.concurrent.locks.LockSupport;

import org.bramleyscale.internal.status.OperatorHandlers;

/**
 * Asks one daemon again and again which version it holds, and notes when it first saw
 * each.
 *
 * <p>
 * A version counts as held from the end of the first call that told of it or of a later
 * one, so each time is late by up to one round of the poll. Safe for use by multiple
 * threads.
 */
final class VersionPoller implements AutoCloseable {

	private static final Duration PAUSE = Duration.ofMillis(5);

	private static final Duration TIMEOUT = Duration.ofMillis(1_000);

	private final HttpRequest request;

	private final HttpClient client = HttpClient.newBuilder()
		.version(HttpClient.Version.HTTP_1_1)
		.connectTimeout(TIMEOUT)
		.build();

	private final Thread thread;

	private final Deque<Sighting> sightings = new ArrayDeque<>();

	private long rounds;

	private final long startNanos = System.nanoTime();

	private volatile boolean closed;

	VersionPoller(String daemon) {
		this.request = HttpRequest.newBuilder(URI.create("http://" + daemon + "/v1/operator/rules"))
			.header("Authorization", "Bearer " + ProcessFleet.OPERATOR_KEY)
			.timeout(TIMEOUT)
			.build();
		this.thread = new Thread(this::poll, "poll-" + daemon);
		this.thread.setDaemon(true);
		this.thread.start();
	}

	/**
	 * When a version or a later one was first seen.
	 * @param version the version
	 * @return the monotonic time in nanoseconds, or empty if not yet
	 */
	synchronized OptionalLong seenAt(long version) {
		return this.sightings.stream()
			.filter((sighting) -> sighting.version >= version)
			.mapToLong(Sighting::nanos)
			.findFirst();
	}

	/**
	 * The mean time between two polls, which bounds how finely times are seen.
	 * @return the resolution
	 */
	synchronized Duration resolution() {
		return Duration.ofNanos((System.nanoTime() - this.startNanos) / Math.max(1, this.rounds));
	}

	@Override
	public void close() {
		this.closed = true;
	}

	private void poll() {
		while (!this.closed) {
			try {
				HttpResponse<Void> response = this.client.send(this.request, HttpResponse.BodyHandlers.discarding());
				response.headers().firstValueAsLong(OperatorHandlers.VERSION_HEADER).ifPresent(this::saw);
			}
			catch (IOException ex) {
				// A killed or stopped daemon doesn't answer; the next round asks again.
			}
			catch (InterruptedException ex) {
				return;
			}
			LockSupport.parkNanos(PAUSE.toNanos());
		}
	}

	private synchronized void saw(long version) {
		this.rounds++;
		if (this.sightings.isEmpty() || this.sightings.getLast().version < version) {
			this.sightings.add(new Sighting(version, System.nanoTime()));
		}
	}

	/**
	 * The first answer that told of a version.
	 *
	 * @param version the version
	 * @param nanos the time
	 */
	private record Sighting(long version, long nanos) {
	}

}
