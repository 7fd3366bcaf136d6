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

	/** The largest frame unless set otherwise; the platform's objects fit in it. */
	public static final int DEFAULT_LARGEST_FRAME = 8 * 1024 * 1024;

	private static final int DEFAULT_QUEUED_FRAMES = 2;

	private static final int SHORTEST_KEY = 16;

	private final PeerIdentity identity;

	private final InetSocketAddress listen;

	private final byte[] key;

	private final int largestFrame;

	private final long mostQueuedBytes;

	private final PeerTimes times;

	private TcpPeerSettings(Builder builder) {
		this.identity = builder.identity;
		this.listen = builder.listen;
		this.key = builder.key;
		this.largestFrame = builder.largestFrame;
		this.mostQueuedBytes = builder.mostQueuedBytes;
		this.times = builder.times;
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

	public int largestFrame() {
		return this.largestFrame;
	}

	public long mostQueuedBytes() {
		return this.mostQueuedBytes;
	}

	public PeerTimes times() {
		return this.times;
	}

	/**
	 * Collects the settings; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private PeerIdentity identity;

		private InetSocketAddress listen;

		private byte[] key;

		private int largestFrame = DEFAULT_LARGEST_FRAME;

		private long mostQueuedBytes = (long) DEFAULT_QUEUED_FRAMES * DEFAULT_LARGEST_FRAME;

		private PeerTimes times = PeerTimes.DEFAULT;

		private Builder() {
		}

		public Builder identity(PeerIdentity identity) {
			this.identity = identity;
			return this;
		}

		/**
		 * Sets the address to bind; port 0 takes any free port.
		 * @param listen the address
		 * @return this builder
		 */
		public Builder listen(InetSocketAddress listen) {
			this.listen = listen;
			return this;
		}

		/**
		 * Sets the key that all daemons share.
		 * @param key at least 16 bytes
		 * @return this builder
		 */
		public Builder key(byte[] key) {
			this.key = key.clone();
			return this;
		}

		public Builder largestFrame(int largestFrame) {
			this.largestFrame = largestFrame;
			return this;
		}

		public Builder mostQueuedBytes(long mostQueuedBytes) {
			this.mostQueuedBytes = mostQueuedBytes;
			return this;
		}

		public Builder times(PeerTimes times) {
			this.times = times;
			return this;
		}

		public TcpPeerSettings build() {
			if (this.identity == null || this.listen == null || this.key == null) {
				throw new IllegalArgumentException("identity, listen address and key must be set");
			}
			if (this.key.length < SHORTEST_KEY) {
				throw new IllegalArgumentException(
						"shared key must have at least " + SHORTEST_KEY + " bytes, has " + this.key.length);
			}
			if (this.largestFrame < Greeting.LARGEST_FRAME) {
				throw new IllegalArgumentException("largest frame must be at least " + Greeting.LARGEST_FRAME
						+ " bytes, was " + this.largestFrame);
			}
			if (this.mostQueuedBytes < this.largestFrame) {
				throw new IllegalArgumentException("bound on queued bytes must be at least the largest frame, "
						+ this.largestFrame + ", was " + this.mostQueuedBytes);
			}
			return new TcpPeerSettings(this);
		}

	}

}
