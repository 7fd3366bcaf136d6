package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.hold.MemoryHold;

/**
 * The result of a placement decision: the target and helpers of a request, or the reason
 * for which it is refused or waits.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param target the endpoint, or empty if the request is refused or waits
 * @param helpers engines that prefill parts of the prompt
 * @param holds memory that must be held on some of the helpers before the request is sent
 * @param prefillMillis the prefill time of the target's and of each helper's part, ms
 * @param firstEventMillis the predicted time until the first event, or until the answer,
 * ms
 * @param reason the reason for the decision
 * @param retryAfter the delay after which a refused caller should retry
 * @param waits whether the request should be placed again after a short delay
 */
public record Placement(Optional<Backend> target, List<Backend> helpers, List<MemoryHold> holds, double prefillMillis,
		double firstEventMillis, String reason, Duration retryAfter, boolean waits) {

	/**
	 * The delay after which a waiting request is placed again. The prefill of a part of a
	 * long prompt takes several times as long, so hardly any engine time is lost.
	 */
	public static final Duration RETRY_INTERVAL = Duration.ofMillis(25);

	/**
	 * A placement at an endpoint.
	 * @param target the endpoint
	 * @param helpers engines that prefill parts of the prompt
	 * @param prefillMillis the prefill time of the target's and of each helper's part, ms
	 * @param firstEventMillis the predicted time until the first event, ms
	 * @param reason the reason for the decision
	 * @return the placement
	 */
	public static Placement at(Backend target, List<Backend> helpers, double prefillMillis, double firstEventMillis,
			String reason) {
		return new Placement(Optional.of(target), List.copyOf(helpers), List.of(), prefillMillis, firstEventMillis,
				reason, Duration.ZERO, false);
	}

	/**
	 * This placement with memory holds.
	 * @param requested the holds, on engines that are among the helpers
	 * @return the placement
	 */
	public Placement holding(List<MemoryHold> requested) {
		return new Placement(this.target, this.helpers, List.copyOf(requested), this.prefillMillis,
				this.firstEventMillis, this.reason, this.retryAfter, this.waits);
	}

	/**
	 * The memory to be held on all helpers.
	 * @return the KV-cache tokens
	 */
	public long heldTokens() {
		return this.holds.stream().mapToLong(MemoryHold::tokens).sum();
	}

	/**
	 * The memory to be held on one engine.
	 * @param engine the engine
	 * @return the KV-cache tokens, 0 if none is held there
	 */
	public long heldAt(Backend engine) {
		return this.holds.stream().filter((hold) -> hold.engine().equals(engine)).mapToLong(MemoryHold::tokens).sum();
	}

	/**
	 * The refusal of a request that can't be served now.
	 * @param reason the reason for the refusal
	 * @param retryAfter the delay after which the caller should retry
	 * @return the placement
	 */
	public static Placement refused(String reason, Duration retryAfter) {
		return new Placement(Optional.empty(), List.of(), List.of(), 0, 0, reason, retryAfter, false);
	}

	/**
	 * A placement that keeps a request waiting at this daemon, since sending it now would
	 * be worse.
	 * @param firstEventMillis the predicted time until the first event, ms
	 * @param reason the reason for waiting
	 * @return the placement
	 */
	public static Placement waiting(double firstEventMillis, String reason) {
		return new Placement(Optional.empty(), List.of(), List.of(), 0, firstEventMillis, reason, Duration.ZERO, true);
	}

}
