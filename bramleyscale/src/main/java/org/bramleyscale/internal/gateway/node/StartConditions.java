package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.time.Clock;

/**
 * What a daemon waits for before it can serve callers.
 *
 * <p>
 * A daemon that isn't ready looks the same whatever it waits for; the log tells each
 * change. Confined to the scheduler's thread. <pre>
 * StartConditions conditions = new StartConditions(scheduler, log).add("endpoints", () -&gt; !endpoints.isEmpty());
 * </pre>
 */
final class StartConditions {

	private final Clock clock;

	private final DecisionLog log;

	private final long startedAt;

	private final Map<String, BooleanSupplier> conditions = new LinkedHashMap<>();

	private List<String> lastUnmet = List.of();

	StartConditions(Clock clock, DecisionLog log) {
		this.clock = clock;
		this.log = log;
		this.startedAt = clock.nanos();
	}

	/**
	 * Adds a condition.
	 * @param name its name in the log
	 * @param met whether it is met
	 * @return this
	 */
	StartConditions add(String name, BooleanSupplier met) {
		this.conditions.put(name, met);
		return this;
	}

	boolean allMet() {
		return this.conditions.values().stream().allMatch(BooleanSupplier::getAsBoolean);
	}

	/**
	 * The conditions that aren't met.
	 * @return their names, in the order in which they were added
	 */
	List<String> unmet() {
		return this.conditions.entrySet()
			.stream()
			.filter((condition) -> !condition.getValue().getAsBoolean())
			.map(Map.Entry::getKey)
			.toList();
	}

	/**
	 * Logs what this daemon waits for, if that has changed; called several times a
	 * second.
	 */
	void observe() {
		List<String> unmet = unmet();
		if (!unmet.equals(this.lastUnmet)) {
			this.lastUnmet = unmet;
			this.log.daemon(unmet.isEmpty() ? "able to serve" : "waiting", "for", unmet, "uptime_ms",
					Duration.ofNanos(this.clock.nanos() - this.startedAt).toMillis());
		}
	}

}
