package org.bramleyscale.internal.endpoint.pool;

import java.time.Duration;

/**
 * Work that lately found no room at one endpoint.
 *
 * <p>
 * Nobody says that such work has gone elsewhere or was given up, so each mention counts
 * only for a short time. Confined to the scheduler's thread.
 */
final class UnmetWork {

	private static final long COUNTS_FOR = Duration.ofSeconds(1).toNanos();

	private static final int MAX_REQUESTS = 64;

	private long mentionedAt;

	private int requests;

	private long largestKv;

	void mention(long kvTokens, long now) {
		expire(now);
		this.mentionedAt = now;
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
		if (this.requests > 0 && now - this.mentionedAt > COUNTS_FOR) {
			clear();
		}
	}

}
