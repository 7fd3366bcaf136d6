package org.bramleyscale.internal.lease;

import org.bramleyscale.internal.time.Clock;

/**
 * One tenure of a lease.
 *
 * <p>
 * Invariant: once {@link #held()} was false it is never true again, since the seeker ends
 * a lapsed lease before it looks at any reply; a lease that is taken anew has a new
 * number and a new object. Confined to the scheduler's thread.
 */
final class HeldLease implements Lease {

	private final Clock clock;

	private final String name;

	private final long number;

	private long version;

	private long validUntil;

	private boolean ended;

	HeldLease(Clock clock, String name, long number, long version, long validUntil) {
		this.clock = clock;
		this.name = name;
		this.number = number;
		this.version = version;
		this.validUntil = validUntil;
	}

	@Override
	public String name() {
		return this.name;
	}

	@Override
	public long number() {
		return this.number;
	}

	@Override
	public boolean held() {
		return !this.ended && remainingNanos() > 0;
	}

	@Override
	public String toString() {
		return this.name + "#" + this.number;
	}

	long version() {
		return this.version;
	}

	long remainingNanos() {
		return this.validUntil - this.clock.nanos();
	}

	void renewed(long version, long validUntil) {
		this.version = version;
		if (validUntil - this.validUntil > 0) {
			this.validUntil = validUntil;
		}
	}

	void end() {
		this.ended = true;
	}

}
