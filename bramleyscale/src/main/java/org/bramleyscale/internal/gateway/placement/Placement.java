package org.bramleyscale.internal.gateway.placement;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.hold.MemoryHold;

/**
 * Where a request goes, or why it goes nowhere.
 *
 * <p>
 * Immutable and safe for use by multiple threads.
 *
 * @param target the endpoint, or empty if the request is refused
 * @param helpers engines that read parts of its prompt
 * @param holds memory that must be held on some of the helpers before the request is sent
 * @param readMillis what the target and each helper read, ms
 * @param firstMillis when the first event, or the answer, is predicted, ms from now
 * @param reason why this was decided
 * @param retryAfter when a refused caller should come back
 * @param waits whether the request should be placed again a little later
 */
public record Placement(Optional<Backend> target, List<Backend> helpers, List<MemoryHold> holds, double readMillis,
		double firstMillis, String reason, Duration retryAfter, boolean waits) {

	/**
	 * A request that waits is placed anew after this: parts of long prompts are read in
	 * several times as much, so that hardly any room is left unused.
	 */
	public static final Duration PLACED_AGAIN = Duration.ofMillis(25);

	/**
	 * A request that goes to an endpoint.
	 * @param target the endpoint
	 * @param helpers engines that read parts of its prompt
	 * @param holds memory that must be held on some of the helpers before the request is
	 * sent
	 * @param readMillis what each of them reads, ms
	 * @param firstMillis when the first event is predicted, ms from now
	 * @param reason why it goes there
	 * @return the placement
	 */
	public static Placement at(Backend target, List<Backend> helpers, double readMillis, double firstMillis,
			String reason) {
		return new Placement(Optional.of(target), List.copyOf(helpers), List.of(), readMillis, firstMillis, reason,
				Duration.ZERO, false);
	}

	/**
	 * The same placement with memory to be held.
	 * @param wanted the memory, on engines that are among the helpers
	 * @return the placement
	 */
	public Placement holding(List<MemoryHold> wanted) {
		return new Placement(this.target, this.helpers, List.copyOf(wanted), this.readMillis, this.firstMillis,
				this.reason, this.retryAfter, this.waits);
	}

	/**
	 * The memory to be held on all helpers.
	 * @return the tokens of context
	 */
	public long held() {
		return this.holds.stream().mapToLong(MemoryHold::tokens).sum();
	}

	/**
	 * The memory to be held on one engine.
	 * @param engine the engine
	 * @return the tokens of context, 0 if none is held there
	 */
	public long heldAt(Backend engine) {
		return this.holds.stream().filter((hold) -> hold.engine().equals(engine)).mapToLong(MemoryHold::tokens).sum();
	}

	/**
	 * A request that can't be served now.
	 * @param reason why
	 * @param retryAfter when the caller should come back
	 * @return the placement
	 */
	public static Placement refused(String reason, Duration retryAfter) {
		return new Placement(Optional.empty(), List.of(), List.of(), 0, 0, reason, retryAfter, false);
	}

	/**
	 * A request that is better kept here for the moment than sent.
	 * @param firstMillis when the first event is predicted, ms from now
	 * @param reason why
	 * @return the placement
	 */
	public static Placement later(double firstMillis, String reason) {
		return new Placement(Optional.empty(), List.of(), List.of(), 0, firstMillis, reason, Duration.ZERO, true);
	}

}
