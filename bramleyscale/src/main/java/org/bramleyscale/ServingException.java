package org.bramleyscale;

import java.time.Duration;
import java.util.Optional;

/**
 * A request or control action that did not complete, with the step and the peer at which
 * it ended.
 *
 * <p>
 * Immutable and safe for use by multiple threads. The peer is the name of the VM,
 * endpoint or platform part involved, or {@code self}.
 */
public class ServingException extends Exception {

	private static final long serialVersionUID = 1L;

	private final ErrorCode code;

	private final Ran ran;

	private final Step step;

	private final String peer;

	private final Duration retryAfter;

	public ServingException(ErrorCode code, Ran ran, Step step, String peer, String message) {
		this(code, ran, step, peer, message, null);
	}

	public ServingException(ErrorCode code, Ran ran, Step step, String peer, String message, Duration retryAfter) {
		super(message);
		this.code = code;
		this.ran = ran;
		this.step = step;
		this.peer = peer;
		this.retryAfter = retryAfter;
	}

	public ErrorCode code() {
		return this.code;
	}

	public Ran ran() {
		return this.ran;
	}

	public Step step() {
		return this.step;
	}

	public String peer() {
		return this.peer;
	}

	/**
	 * When the caller should come back.
	 * @return the time to wait, or empty if a retry can't help
	 */
	public Optional<Duration> retryAfter() {
		return Optional.ofNullable(this.retryAfter);
	}

}
