package org.bramleyscale.internal.request;

import java.time.Duration;

/**
 * Settings of request handling: timeouts, retention, size limits and the retry budget.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 */
public final class RequestSettings {

	private final Duration streamSilence;

	private final Duration orphanGrace;

	private final Duration forwardAcknowledgement;

	private final Duration notRepeatableRetention;

	private final Duration repeatableRetention;

	private final int recordCount;

	private final long recordBytes;

	private final int maxUsedIds;

	private final int maxBodyBytes;

	private final double retryRatio;

	private final double retriesPerSecond;

	private final int maxAttempts;

	private RequestSettings(Builder builder) {
		this.streamSilence = positive("stream silence", builder.streamSilence);
		this.orphanGrace = positive("orphan grace", builder.orphanGrace);
		this.forwardAcknowledgement = positive("forward acknowledgement", builder.forwardAcknowledgement);
		this.notRepeatableRetention = positive("retention of not-repeatable records", builder.notRepeatableRetention);
		this.repeatableRetention = positive("retention of repeatable records", builder.repeatableRetention);
		this.recordCount = positive("record count", builder.recordCount);
		this.recordBytes = positive("record bytes", builder.recordBytes);
		this.maxUsedIds = positive("maximum number of used ids", builder.maxUsedIds);
		this.maxBodyBytes = positive("maximum body size", builder.maxBodyBytes);
		this.retryRatio = builder.retryRatio;
		this.retriesPerSecond = builder.retriesPerSecond;
		this.maxAttempts = positive("attempts", builder.maxAttempts);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * How long a stream may deliver nothing before it is resumed over a new connection.
	 * @return 5 s by default
	 */
	public Duration streamSilence() {
		return this.streamSilence;
	}

	/**
	 * How long a repeatable request without a reader continues before it is cancelled.
	 * @return 10 s by default
	 */
	public Duration orphanGrace() {
		return this.orphanGrace;
	}

	/**
	 * How long to wait until the home daemon of a request acknowledges a forward.
	 * @return 2 s by default
	 */
	public Duration forwardAcknowledgement() {
		return this.forwardAcknowledgement;
	}

	/**
	 * How long past its deadline the record of a not-repeatable request is kept.
	 * @return 2 min by default
	 */
	public Duration notRepeatableRetention() {
		return this.notRepeatableRetention;
	}

	/**
	 * How long past its end the record of a repeatable request is kept.
	 * @return 30 s by default
	 */
	public Duration repeatableRetention() {
		return this.repeatableRetention;
	}

	/**
	 * The maximum number of ended records kept.
	 * @return 20,000 by default
	 */
	public int recordCount() {
		return this.recordCount;
	}

	/**
	 * The maximum memory of ended records, in bytes.
	 * @return 16 MiB by default
	 */
	public long recordBytes() {
		return this.recordBytes;
	}

	/**
	 * The maximum number of caller-chosen ids of not-repeatable requests per incarnation.
	 * @return 1.5 million by default
	 */
	public int maxUsedIds() {
		return this.maxUsedIds;
	}

	/**
	 * The maximum size of a prompt or body, in bytes.
	 * @return 16 MiB by default
	 */
	public int maxBodyBytes() {
		return this.maxBodyBytes;
	}

	/**
	 * The retries added to the retry budget for each first attempt.
	 * @return 0.1 by default
	 */
	public double retryRatio() {
		return this.retryRatio;
	}

	/**
	 * The retries added to the retry budget per second, in addition to
	 * {@link #retryRatio()}.
	 * @return 0.5 by default
	 */
	public double retriesPerSecond() {
		return this.retriesPerSecond;
	}

	/**
	 * The maximum number of attempts per request.
	 * @return 3 by default
	 */
	public int maxAttempts() {
		return this.maxAttempts;
	}

	private static Duration positive(String name, Duration value) {
		if (value.isNegative() || value.isZero()) {
			throw new IllegalArgumentException(name + " must be positive, was " + value);
		}
		return value;
	}

	private static int positive(String name, int value) {
		return (int) positive(name, (long) value);
	}

	private static long positive(String name, long value) {
		if (value <= 0) {
			throw new IllegalArgumentException(name + " must be positive, was " + value);
		}
		return value;
	}

	/**
	 * Builder of settings; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private Duration streamSilence = Duration.ofSeconds(5);

		private Duration orphanGrace = Duration.ofSeconds(10);

		private Duration forwardAcknowledgement = Duration.ofSeconds(2);

		private Duration notRepeatableRetention = Duration.ofMinutes(2);

		private Duration repeatableRetention = Duration.ofSeconds(30);

		private int recordCount = 20_000;

		private long recordBytes = 16 << 20;

		private int maxUsedIds = 1_500_000;

		private int maxBodyBytes = 16 << 20;

		private double retryRatio = 0.1;

		private double retriesPerSecond = 0.5;

		private int maxAttempts = 3;

		private Builder() {
		}

		public Builder streamSilence(Duration value) {
			this.streamSilence = value;
			return this;
		}

		public Builder orphanGrace(Duration value) {
			this.orphanGrace = value;
			return this;
		}

		public Builder forwardAcknowledgement(Duration value) {
			this.forwardAcknowledgement = value;
			return this;
		}

		public Builder notRepeatableRetention(Duration value) {
			this.notRepeatableRetention = value;
			return this;
		}

		public Builder repeatableRetention(Duration value) {
			this.repeatableRetention = value;
			return this;
		}

		public Builder recordCount(int value) {
			this.recordCount = value;
			return this;
		}

		public Builder recordBytes(long value) {
			this.recordBytes = value;
			return this;
		}

		public Builder maxUsedIds(int value) {
			this.maxUsedIds = value;
			return this;
		}

		public Builder maxBodyBytes(int value) {
			this.maxBodyBytes = value;
			return this;
		}

		public Builder retryRatio(double value) {
			this.retryRatio = value;
			return this;
		}

		public Builder retriesPerSecond(double value) {
			this.retriesPerSecond = value;
			return this;
		}

		public Builder maxAttempts(int value) {
			this.maxAttempts = value;
			return this;
		}

		public RequestSettings build() {
			return new RequestSettings(this);
		}

	}

}
