package org.bramleyscale.internal.lease;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.platform.ObjectKey;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;

/**
 * Reads and writes the stored object of one lease.
 *
 * <p>
 * Invariant: the send time of each write with an unknown outcome is retained for as long
 * as that write could still make the lease valid. The reply to a write can be lost after
 * the write took effect. Without the retained time this daemon would hold a lease without
 * knowing it, or would give the lease up on a conflict with its own write, so that a lost
 * reply would transfer the lease to another daemon. The stored nonce identifies the write
 * that took effect and thereby the time from which the lease is valid. Confined to the
 * scheduler's thread.
 */
final class LeaseObject {

	private static final int RELEASE_ATTEMPTS = 3;

	private final LeaseContext context;

	private final ObjectKey key;

	private final Map<Long, Long> unknownOutcomes = new HashMap<>();

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
	 * Prepares a write; it must be sent immediately, since the lease is valid from now.
	 * @param number the fencing number
	 * @param expected the expected version of the stored object
	 * @return the write
	 */
	Attempt prepare(long number, long expected) {
		long nonce = this.context.random().nextLong();
		return new Attempt(number, expected, nonce, this.context.scheduler().nanos());
	}

	CompletableFuture<StoredObject> write(Attempt attempt) {
		return write(attempt, false);
	}

	/**
	 * Releases the lease, so that the next holder need not wait for its expiry. If the
	 * platform doesn't answer, the lease expires instead.
	 * @param number the fencing number
	 * @param version the object's version
	 */
	void release(long number, long version) {
		release(number, version, RELEASE_ATTEMPTS);
	}

	/**
	 * Records a write with an unknown outcome and drops records of expired validity.
	 * @param attempt the write
	 */
	void recordUnknownOutcome(Attempt attempt) {
		this.unknownOutcomes.values().removeIf((sentAt) -> this.context.remainingNanos(sentAt) <= 0);
		this.unknownOutcomes.put(attempt.nonce, attempt.sentAt);
	}

	/**
	 * Clears the recorded writes. One that arrives later either finds a newer version and
	 * has no effect, or causes a conflict with this daemon's next write.
	 */
	void clearUnknownOutcomes() {
		this.unknownOutcomes.clear();
	}

	/**
	 * The send time of the recorded write with this nonce.
	 * @param nonce the nonce
	 * @return the monotonic time, or empty if no recorded write has the nonce
	 */
	Optional<Long> sentAt(long nonce) {
		return Optional.ofNullable(this.unknownOutcomes.get(nonce));
	}

	private void release(long number, long version, int attempts) {
		write(prepare(number, version), true).whenComplete((stored, failure) -> {
			boolean conflict = failure instanceof PlatformException platform
					&& platform.kind() == PlatformException.Kind.CONFLICT;
			if (failure != null && !conflict && attempts > 1) {
				this.context.scheduler()
					.schedule(this.context.settings().retryInterval(), () -> release(number, version, attempts - 1));
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
	 * One conditional write to the stored object.
	 *
	 * @param number the fencing number
	 * @param expected the expected version of the stored object
	 * @param nonce identifies the write when the object is read back
	 * @param sentAt the monotonic time just before it was sent
	 */
	record Attempt(long number, long expected, long nonce, long sentAt) {
	}

}
