package org.bramleyscale;

import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.node.Node;

/**
 * One daemon of the serving layer, embeddable in any process.
 *
 * <p>
 * <pre>
 * try (Bramleyscale daemon = Bramleyscale.builder().settings(settings).build()) {
 * 	daemon.start();
 * 	daemon.leave().join(); // a planned stop: cuts no request
 * }
 * </pre>
 *
 * <p>
 * No argument may be null. Immutable and safe for use by multiple threads.
 */
public final class Bramleyscale implements AutoCloseable {

	private final Settings settings;

	private final Node node;

	private Bramleyscale(Builder builder) {
		this.settings = builder.settings;
		this.node = Node.create(builder.settings);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Starts to listen and to take part in the fleet.
	 * @throws Exception if an address can't be used
	 */
	public void start() throws Exception {
		this.node.start();
	}

	/**
	 * Where it listens for callers and operators.
	 * @return {@code host:port}
	 */
	public String httpAddress() {
		return this.settings.httpAddress().toString();
	}

	/**
	 * Begins the planned stop: it leaves the address answers, goes on taking requests for
	 * as long as callers keep those answers, finishes what it has, and ends.
	 * @return completes when it has ended, with true if every request had ended and false
	 * if the drain limit was reached or it was closed
	 */
	public CompletableFuture<Boolean> leave() {
		return this.node.leave();
	}

	/**
	 * Completes when the daemon has ended, whoever asked for it.
	 * @return as {@link #leave()} says
	 */
	public CompletableFuture<Boolean> ended() {
		return this.node.ended();
	}

	/**
	 * Ends at once, cutting what runs; calling again has no effect.
	 */
	@Override
	public void close() {
		this.node.close();
	}

	/**
	 * Collects what a daemon needs; not safe for use by multiple threads.
	 */
	public static final class Builder {

		private Settings settings;

		private Builder() {
		}

		/**
		 * Sets the daemon's settings. Required.
		 * @param value the settings
		 * @return this builder
		 */
		public Builder settings(Settings value) {
			this.settings = value;
			return this;
		}

		/**
		 * Builds the daemon, which does nothing until it is started.
		 * @return the daemon
		 */
		public Bramleyscale build() {
			if (this.settings == null) {
				throw new IllegalArgumentException("a daemon needs settings, were null");
			}
			return new Bramleyscale(this);
		}

	}

}
