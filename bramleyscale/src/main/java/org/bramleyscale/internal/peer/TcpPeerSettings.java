package org.bramleyscale.internal.peer;

import java.net.InetSocketAddress;

/**
 * The settings of a daemon's connections to its peers.
 *
 * <p>
 * Immutable and safe for use by multiple threads. <pre>
 * TcpPeerSettings settings = TcpPeerSettings.builder()
 *     .identity(identity)
 *     .listen(new InetSocketAddress("127.0.0.1", 7400))
 *     .key(sharedKey)
 *     .build();
 * </pre>
 */
public final class TcpPeerSettings {

	/** The default limit on a frame's payload; the platform's objects fit in it. */
	public static final int DEFAULT_MAX_FRAME_BYTES = 8 * 1024 * 1024;

	private static final int DEFAULT_QUEUED_FRAMES = 2;

	private static final int MIN_KEY_BYTES = 16;

	private final PeerIdentity identity;

	private final InetSocketAddress listen;

	private final byte[] key;

	private final int maxFrameBytes;

	private final long maxQueuedBytes;

	private final PeerTimings timings;

	private TcpPeerSettings(Builder builder) {
		this.identity = builder.identity;
		this.listen = builder.listen;
		this.key = builder.key;
		this.maxFrameBytes = builder.maxFrameBytes;
		this.maxQueuedBytes = builder.maxQueuedBytes;
		this.timings = builder.timings;
	}

	public static Builder builder() {
		return new Builder();
	}

	public PeerIdentity identity() {
		return this.identity;
	}

	public InetSocketAddress listen() {
		return this.listen;
	}

	byte[] key() {
		return this.key;
	}

	public int maxFrameBytes() {
		return this.maxFrameBytes;
	}

	public long maxQueuedBytes() {
		return this.maxQueuedBytes;
	}

	public PeerTimings timings() {
		return this.timings;
	}

	/**
	 * Collects the settings; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private PeerIdentity identity;

		private InetSocketAddress listen;

		private byte[] key;

		private int maxFrameBytes = DEFAULT_MAX_FRAME_BYTES;

		private long maxQueuedBytes = (long) DEFAULT_QUEUED_FRAMES * DEFAULT_MAX_FRAME_BYTES;

		private PeerTimings timings = PeerTimings.DEFAULT;

		private Builder() {
		}

		public Builder identity(PeerIdentity identity) {
			this.identity = identity;
			return this;
		}

		/**
		 * Sets the address to bind; port 0 selects any free port.
		 * @param listen the address
		 * @return this builder
		 */
		public Builder listen(InetSocketAddress listen) {
			this.listen = listen;
			return this;
		}

		/**
		 * Sets the key shared by all daemons.
		 * @param key at least 16 bytes
		 * @return this builder
		 */
		public Builder key(byte[] key) {
			this.key = key.clone();
			return this;
		}

		public Builder maxFrameBytes(int maxFrameBytes) {
			this.maxFrameBytes = maxFrameBytes;
			return this;
		}

		public Builder maxQueuedBytes(long maxQueuedBytes) {
			this.maxQueuedBytes = maxQueuedBytes;
			return this;
		}

		public Builder timings(PeerTimings timings) {
			this.timings = timings;
			return this;
		}

		public TcpPeerSettings build() {
			if (this.identity == null || this.listen == null || this.key == null) {
				throw new IllegalArgumentException("identity, listen address and key must be set");
			}
			if (this.key.length < MIN_KEY_BYTES) {
				throw new IllegalArgumentException(
						"shared key must have at least " + MIN_KEY_BYTES + " bytes, has " + this.key.length);
			}
			if (this.maxFrameBytes < Handshake.MAX_FRAME_BYTES) {
				throw new IllegalArgumentException("largest frame must be at least " + Handshake.MAX_FRAME_BYTES
						+ " bytes, was " + this.maxFrameBytes);
			}
			if (this.maxQueuedBytes < this.maxFrameBytes) {
				throw new IllegalArgumentException("bound on queued bytes must be at least the largest frame, "
						+ this.maxFrameBytes + ", was " + this.maxQueuedBytes);
			}
			return new TcpPeerSettings(this);
		}

	}

}
