package org.bramleyscale.internal.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;

/**
 * The platform's object of one lease, with this daemon's writes to it.
 *
 * <p>
 * Invariant: remembers when each write was sent whose outcome isn't known, as long as it
 * could still count. A reply can be lost after the write took effect. The holder would
 * then hold a lease it doesn't know of, or see a conflict with its own write and give up;
 * it shows as a lease that changes hands at a lost reply. Reading back the nonce tells
 * which write took effect, and so from when the lease counts. Confined to the scheduler's
 * thread.
 */
final class LeaseObject {

	private static final int GIVE_BACK_ATTEMPTS = 3;

	private final LeaseContext context;

	private final ObjectKey key;

	private final Map<Long, Long> unsettled = new HashMap<>();

	LeaseObject(LeaseContext context, String name) {
		this.context = context;
		this.key = new ObjectKey("lease", name);
	}

	String name() {
		return this.key.name();
	}

	CompletableFuture<Optional<StoredObject>> read() {
		return this.context.store().read(this.key);
	}

	/**
	 * Prepares a write that is sent at once.
	 * @param number the fencing number
	 * @param expected the version the object must have
	 * @return the write
	 */
	Attempt attempt(long number, long expected) {
		long nonce = this.context.random().nextLong();
		return new Attempt(number, expected, nonce, this.context.scheduler().nanos());
	}

	CompletableFuture<StoredObject> write(Attempt attempt) {
		return write(attempt, false);
	}

	/**
	 * Gives the lease back, so that the next holder need not wait for its expiry. If the
	 * platform doesn't answer, the lease expires.
	 * @param number the fencing number
	 * @param version the object's version
	 */
	void giveBack(long number, long version) {
		giveBack(number, version, GIVE_BACK_ATTEMPTS);
	}

	/**
	 * Keeps a write in mind whose outcome isn't known.
	 * @param attempt the write
	 */
	void unsettled(Attempt attempt) {
		this.unsettled.values().removeIf((sentAt) -> this.context.remainingNanos(sentAt) <= 0);
		this.unsettled.put(attempt.nonce, attempt.sentAt);
	}

	/**
	 * Forgets the unsettled writes. One that still arrives either finds a newer version
	 * and has no effect, or makes this daemon's next write conflict.
	 */
	void settled() {
		this.unsettled.clear();
	}

	/**
	 * When the unsettled write with this nonce was sent.
	 * @param nonce the nonce
	 * @return the monotonic time, or empty if no unsettled write has the nonce
	 */
	Optional<Long> sentAt(long nonce) {
		return Optional.ofNullable(this.unsettled.get(nonce));
	}

	private void giveBack(long number, long version, int attempts) {
		write(attempt(number, version), true).whenComplete((stored, failure) -> {
			boolean refused = failure instanceof PlatformException platform
					&& platform.kind() == PlatformException.Kind.CONFLICT;
			if (failure != null && !refused && attempts > 1) {
				this.context.scheduler()
					.schedule(this.context.settings().retryEvery(), () -> giveBack(number, version, attempts - 1));
			}
		});
	}

	private CompletableFuture<StoredObject> write(Attempt attempt, boolean released) {
		String holder = this.context.self().toString();
		long duration = this.context.settings().duration().toMillis();
		LeaseValue value = new LeaseValue(holder, attempt.number, attempt.nonce, duration, released);
		return this.context.store().write(this.key, value.encode(), attempt.expected);
	}

	/**
	 * One write to the object.
	 *
	 * @param number the fencing number
	 * @param expected the version the object must have
	 * @param nonce marks the write
	 * @param sentAt the monotonic time before it was sent
	 */
	record Attempt(long number, long expected, long nonce, long sentAt) {
	}

}
