package org.bramleyscale.internal.gateway.crash;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;

import org.bramleyscale.internal.time.Clock;

/**
 * The parts of prompts that endpoints have answered to this daemon lately.
 *
 * <p>
 * Popular parts are in flight at almost every crash. An answer from shortly before shows
 * that they have not caused it, unless they have changed since; so each answer vouches
 * only once. Bounded; the parts answered longest ago are forgotten first. Confined to the
 * scheduler's thread.
 */
final class AnsweredParts {

	/** Maximum number of parts; 150 bytes each. */
	static final int MAX_PARTS = 4_000;

	/** How long an answer vouches for the parts of its prompt. */
	static final Duration RETENTION = Duration.ofMinutes(1);

	private final Clock clock;

	private final Map<CrashCause, Long> answeredAt = new LinkedHashMap<>() {

		private static final long serialVersionUID = 1L;

		@Override
		protected boolean removeEldestEntry(Map.Entry<CrashCause, Long> eldest) {
			return size() > MAX_PARTS;
		}

	};

	AnsweredParts(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Records an answer.
	 * @param part a part of the answered prompt
	 */
	void answered(CrashCause part) {
		this.answeredAt.remove(part);
		this.answeredAt.put(part, this.clock.nanos());
	}

	/**
	 * Takes the answer that vouches for a part, if there is one.
	 * @param part the part
	 * @return false if it wasn't answered since the last call
	 */
	boolean vouch(CrashCause part) {
		boolean answered = answeredLately(part);
		this.answeredAt.remove(part);
		return answered;
	}

	/**
	 * Whether there is an answer that vouches for a part.
	 * @param part the part
	 * @return true if it was answered since it was last vouched for
	 */
	boolean answeredLately(CrashCause part) {
		Long at = this.answeredAt.get(part);
		return at != null && this.clock.nanos() - at < RETENTION.toNanos();
	}

}
