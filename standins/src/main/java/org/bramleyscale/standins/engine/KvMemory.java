package org.bramleyscale.standins.engine;

import java.util.List;
import java.util.function.Consumer;

import org.bramleyscale.internal.endpoint.EngineHold;

/**
 * An engine's KV memory: what running attempts use, what holds keep, and the cached
 * prefixes in the rest.
 *
 * <p>
 * Invariant: memory in use plus memory held never exceeds the capacity. An attempt that
 * names a hold uses the hold's memory and none besides. Confined to the scheduler's
 * thread.
 */
final class KvMemory implements Batch.Admission {

	private final long capacity;

	private final Holds holds;

	private final PrefixCache cache;

	private final Consumer<Attempt> whenEnded;

	private long inUse;

	KvMemory(long capacity, Holds holds, PrefixCache cache, Consumer<Attempt> whenEnded) {
		this.capacity = capacity;
		this.holds = holds;
		this.cache = cache;
		this.whenEnded = whenEnded;
	}

	/**
	 * Memory in use and held.
	 * @return tokens
	 */
	long used() {
		return this.inUse + this.holds.tokens();
	}

	boolean hold(EngineHold hold) {
		boolean held = this.holds.put(hold, free());
		if (held) {
			this.cache.shrinkTo(free());
		}
		return held;
	}

	void release(String hold) {
		this.holds.release(hold);
	}

	List<EngineHold> holds() {
		return this.holds.list();
	}

	boolean kept(String hold) {
		return this.holds.kept(hold);
	}

	/**
	 * Binds the hold that an attempt names, if any, so that it lasts until the attempt
	 * ends.
	 * @param attempt the attempt
	 */
	void accepted(Attempt attempt) {
		attempt.generation().ownHold().ifPresent(this.holds::use);
	}

	@Override
	public boolean begin(Attempt attempt) {
		if (attempt.generation().ownHold().isEmpty()) {
			if (attempt.kvTokens() > free()) {
				return false;
			}
			this.inUse += attempt.kvTokens();
		}
		attempt.start(this.cache.cachedTokens(attempt.generation().prompt()));
		this.cache.shrinkTo(free());
		return true;
	}

	@Override
	public void ended(Attempt attempt, boolean begun) {
		attempt.generation().ownHold().ifPresent(this.holds::unuse);
		if (begun) {
			this.inUse -= attempt.generation().ownHold().isPresent() ? 0 : attempt.kvTokens();
			this.cache.store(attempt.generation().prompt(), free());
		}
		this.whenEnded.accept(attempt);
	}

	private long free() {
		return this.capacity - used();
	}

}
