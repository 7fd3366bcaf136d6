package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;

/**
 * Requests that recently could not be placed at one endpoint for lack of capacity.
 *
 * <p>
 * There is no notification when such a request is placed elsewhere or abandoned, so the
 * counts expire a short time after the last request was added. Confined to the
 * scheduler's thread.
 */
final class UnmetDemand {

	private static final long RETENTION = Duration.ofSeconds(1).toNanos();

	private static final int MAX_REQUESTS = 64;

	private long lastAddedAt;

	private int requests;

	private long largestKv;

	void add(long kvTokens, long now) {
		expire(now);
		this.lastAddedAt = now;
		this.requests = Math.min(MAX_REQUESTS, this.requests + 1);
		this.largestKv = Math.max(this.largestKv, kvTokens);
	}

	int requests(long now) {
		expire(now);
		return this.requests;
	}

	long largestKv(long now) {
		expire(now);
		return this.largestKv;
	}

	void clear() {
		this.requests = 0;
		this.largestKv = 0;
	}

	private void expire(long now) {
		if (this.requests > 0 && now - this.lastAddedAt > RETENTION) {
			clear();
		}
	}

}
