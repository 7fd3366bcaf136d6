package org.bramleyscale.internal.lease;

import org.bramleyscale.internal.time.Clock;

/**
 * One tenure of a lease by this daemon.
 *
 * <p>
 * Invariant: once {@link #held()} has returned false it never returns true again, since
 * {@link LeaseAcquirer} ends an expired lease before it processes any reply; a lease that
 * is acquired again has a new number and a new instance of this class. Confined to the
 * scheduler's thread.
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
