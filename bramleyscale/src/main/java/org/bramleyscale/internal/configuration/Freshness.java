package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.OptionalLong;

/**
 * Decides whether the held version may still be in force.
 *
 * <p>
 * There are two ways to know. While anybody reaches the platform, a confirmation that no
 * later version exists travels from daemon to daemon with its age. While nobody does, no
 * version can be made, and it is enough that a majority of the daemons can be heard and
 * that nobody heard holds a later version. The second way needs the majority, because a
 * group cut off from the platform can't tell an outage from its own partition; and a
 * change needs the majority too, so it can't be accepted behind the back of one that is
 * cut off.
 *
 * <p>
 * Invariant: times are the own monotonic clock's, taken before the question was sent, so
 * a late answer never looks recent. Not safe for use by multiple threads.
 */
final class Freshness {

	/**
	 * How long a majority must have been heard before peers' word counts. When a
	 * partition heals, the first peers heard may be those of the same old part.
	 */
	static final Duration SETTLING = Duration.ofSeconds(2);

	private final long staleNanos;

	private long held;

	private long newestKnown;

	private OptionalLong confirmedAt = OptionalLong.empty();

	private long pendingVersion;

	private OptionalLong pendingAt = OptionalLong.empty();

	private OptionalLong agreedAt = OptionalLong.empty();

	private OptionalLong majoritySince = OptionalLong.empty();

	Freshness(Duration staleAfter) {
		this.staleNanos = staleAfter.toNanos();
	}

	/**
	 * Notes that a version is held.
	 * @param version the version
	 */
	void held(long version) {
		this.held = version;
		this.newestKnown = Math.max(this.newestKnown, version);
		if (this.pendingAt.isPresent() && this.pendingVersion <= version) {
			this.confirmedAt = later(this.confirmedAt, this.pendingAt.getAsLong());
			this.pendingAt = OptionalLong.empty();
		}
	}

	/**
	 * Notes that a version exists somewhere.
	 * @param version the version
	 */
	void known(long version) {
		this.newestKnown = Math.max(this.newestKnown, version);
	}

	/**
	 * Notes the platform's word, first hand or passed on.
	 * @param newest the newest version in the platform
	 * @param at when the platform had no later one
	 */
	void platformConfirmed(long newest, long at) {
		known(newest);
		if (newest <= this.held) {
			this.confirmedAt = later(this.confirmedAt, at);
		}
		else if (this.pendingAt.isEmpty() || this.pendingAt.getAsLong() - at < 0) {
			this.pendingVersion = newest;
			this.pendingAt = OptionalLong.of(at);
		}
	}

	/**
	 * Notes a peer's word.
	 * @param version the version that it holds
	 * @param at when it was asked
	 */
	void peerHeard(long version, long at) {
		known(version);
		if (version <= this.held) {
			this.agreedAt = later(this.agreedAt, at);
		}
	}

	/**
	 * Notes whether a majority of the daemons is heard.
	 * @param heard true if it is
	 * @param now the time
	 */
	void majority(boolean heard, long now) {
		if (!heard) {
			this.majoritySince = OptionalLong.empty();
		}
		else if (this.majoritySince.isEmpty()) {
			this.majoritySince = OptionalLong.of(now);
		}
	}

	/**
	 * Whether the held version may be acted upon.
	 * @param now the time
	 * @param alone whether there is no other daemon to ask
	 * @return true if it may
	 */
	boolean fresh(long now, boolean alone) {
		if (this.held == 0) {
			return false;
		}
		return recent(this.confirmedAt, now) || agreed(now, alone);
	}

	/**
	 * How long ago the platform had no later version than the held one.
	 * @param now the time
	 * @return nanoseconds, or empty if that was never confirmed
	 */
	OptionalLong confirmedAge(long now) {
		return this.confirmedAt.isPresent() ? OptionalLong.of(now - this.confirmedAt.getAsLong())
				: OptionalLong.empty();
	}

	long newestKnown() {
		return this.newestKnown;
	}

	private boolean agreed(long now, boolean alone) {
		boolean settled = this.majoritySince.isPresent() && now - this.majoritySince.getAsLong() >= SETTLING.toNanos();
		boolean nobodyAhead = this.newestKnown <= this.held;
		return settled && nobodyAhead && (alone || recent(this.agreedAt, now));
	}

	private boolean recent(OptionalLong at, long now) {
		return at.isPresent() && now - at.getAsLong() <= this.staleNanos;
	}

	private static OptionalLong later(OptionalLong known, long at) {
		return (known.isEmpty() || known.getAsLong() - at < 0) ? OptionalLong.of(at) : known;
	}

}
