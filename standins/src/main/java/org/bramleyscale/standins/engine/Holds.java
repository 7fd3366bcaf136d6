package org.bramleyscale.standins.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.time.Clock;

/**
 * The KV memory that an engine keeps for requests yet to come.
 *
 * <p>
 * A hold ends when it is released or when its time is over without a renewal, and never
 * while a request uses it. Confined to the scheduler's thread.
 */
final class Holds {

	private final Clock clock;

	private final Map<String, Kept> kept = new LinkedHashMap<>();

	Holds(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Takes or renews a hold.
	 * @param hold the hold
	 * @param free the memory not in use, in tokens
	 * @return false if there is too little memory
	 */
	boolean put(EngineHold hold, long free) {
		Kept before = this.kept.get(hold.hold());
		long more = hold.kvTokens() - ((before != null) ? before.hold.kvTokens() : 0);
		if (more > free) {
			return false;
		}
		Kept now = new Kept(hold, this.clock.nanos() + hold.expiresIn().toNanos());
		now.users = (before != null) ? before.users : 0;
		this.kept.put(hold.hold(), now);
		return true;
	}

	void release(String name) {
		Kept hold = this.kept.get(name);
		if (hold == null) {
			return;
		}
		if (hold.users > 0) {
			hold.expiry = this.clock.nanos();
		}
		else {
			this.kept.remove(name);
		}
	}

	long tokens() {
		expire();
		return this.kept.values().stream().mapToLong((hold) -> hold.hold.kvTokens()).sum();
	}

	List<EngineHold> list() {
		expire();
		List<EngineHold> holds = new ArrayList<>();
		for (Kept each : this.kept.values()) {
			Duration left = Duration.ofNanos(Math.max(0, each.expiry - this.clock.nanos()));
			holds.add(new EngineHold(each.hold.hold(), each.hold.holder(), each.hold.kvTokens(), left));
		}
		return holds;
	}

	boolean kept(String name) {
		expire();
		return this.kept.containsKey(name);
	}

	void use(String name) {
		this.kept.get(name).users++;
	}

	void unuse(String name) {
		Kept hold = this.kept.get(name);
		if (hold != null) {
			hold.users--;
			expire();
		}
	}

	private void expire() {
		this.kept.values().removeIf((hold) -> hold.users == 0 && hold.expiry - this.clock.nanos() <= 0);
	}

	/**
	 * One hold and its users.
	 */
	private static final class Kept {

		private final EngineHold hold;

		private long expiry;

		private int users;

		private Kept(EngineHold hold, long expiry) {
			this.hold = hold;
			this.expiry = expiry;
		}

	}

}
