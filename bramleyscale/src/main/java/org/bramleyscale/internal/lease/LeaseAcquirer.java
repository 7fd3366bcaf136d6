package org.bramleyscale.internal.lease;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;

import org.bramleyscale.internal.lease.LeaseObject.Attempt;
import org.bramleyscale.internal.lease.Leases.LeaseListener;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.time.Cancellable;
import org.jboss.logging.Logger;

/**
 * Acquires, renews and releases one lease.
 *
 * <p>
 * Invariants: at most one call to the platform is in progress, apart from the writes that
 * release the lease; validity starts just before the call that acquired or renewed the
 * lease is sent, by the monotonic clock; another holder's lease is taken over only after
 * this daemon itself has observed the same object unchanged for the duration plus the
 * margin, and only if it is still unchanged when the write takes effect. Confined to the
 * scheduler's thread.
 */
final class LeaseAcquirer {

	private static final Logger logger = Logger.getLogger(LeaseAcquirer.class);

	private static final Cancellable NOT_SCHEDULED = () -> {
	};

	private final LeaseContext context;

	private final LeaseObject object;

	private final LeaseListener listener;

	private HeldLease held;

	private ObservedLease observed;

	private Cancellable nextStep = NOT_SCHEDULED;

	private Cancellable expiry = NOT_SCHEDULED;

	private long lastNumber;

	private boolean stopped;

	LeaseAcquirer(LeaseContext context, String name, LeaseListener listener) {
		this.context = context;
		this.object = new LeaseObject(context, name);
		this.listener = listener;
	}

	void start() {
		scheduleStep(Duration.ZERO);
	}

	void stop() {
		this.stopped = true;
		this.nextStep.cancel();
		HeldLease lease = this.held;
		if (lease != null) {
			lose();
			this.object.release(lease.number(), lease.version());
		}
	}

	Optional<Lease> lease() {
		return Optional.ofNullable(this.held);
	}

	LeaseView view() {
		String name = this.object.name();
		if (this.held != null) {
			long remaining = Duration.ofNanos(this.held.remainingNanos()).toMillis();
			return new LeaseView(name, this.context.self().toString(), this.held.number(), remaining);
		}
		String holder = (this.observed != null) ? this.observed.holder() : "unknown";
		return new LeaseView(name, holder, 0, 0);
	}

	private void scheduleStep(Duration delay) {
		if (!this.stopped) {
			this.nextStep = this.context.scheduler().schedule(delay, this::step);
		}
	}

	private void step() {
		loseIfExpired();
		if (this.held != null) {
			renew(this.held);
		}
		else {
			read();
		}
	}

	private void renew(HeldLease lease) {
		Attempt attempt = this.object.prepare(lease.number(), lease.version());
		write(attempt, (stored) -> confirm(lease, stored.version(), attempt.sentAt()));
	}

	private void acquire(long expected) {
		if (this.stopped) {
			return;
		}
		Attempt attempt = this.object.prepare(expected + 1, expected);
		write(attempt, (stored) -> beginTenure(attempt.number(), stored.version(), attempt.sentAt()));
	}

	private void read() {
		this.object.read().whenComplete((found, failure) -> {
			loseIfExpired();
			if (failure != null) {
				scheduleStep(this.context.settings().retryInterval());
			}
			else if (!this.stopped) {
				handleRead(found);
			}
		});
	}

	private void handleRead(Optional<StoredObject> found) {
		if (found.isEmpty()) {
			lose();
			acquire(0);
			return;
		}
		long version = found.get().version();
		Optional<LeaseValue> value = LeaseValue.decode(found.get().value());
		if (value.isPresent() && value.get().holder().equals(this.context.self().toString())) {
			handleOwn(version, value.get());
		}
		else {
			lose();
			handleOther(version, value);
		}
	}

	private void handleOwn(long version, LeaseValue value) {
		Optional<Long> sentAt = this.object.sentAt(value.nonce());
		if (this.held == null) {
			handleOwnNotHeld(version, value, sentAt);
		}
		else if (this.held.number() != value.number()) {
			lose();
			acquire(version);
		}
		else if (sentAt.isPresent()) {
			this.object.clearUnknownOutcomes();
			confirm(this.held, version, sentAt.get());
		}
		else {
			scheduleStep(this.context.settings().retryInterval());
		}
	}

	private void handleOwnNotHeld(long version, LeaseValue value, Optional<Long> sentAt) {
		this.object.clearUnknownOutcomes();
		// A renewal that took effect after the lease had expired here isn't a new tenure:
		// its number was used before.
		boolean newTenure = !value.released() && value.number() > this.lastNumber;
		if (newTenure && sentAt.isPresent() && this.context.remainingNanos(sentAt.get()) > 0) {
			beginTenure(value.number(), version, sentAt.get());
		}
		else {
			// The lease expired here or was released. No wait is needed, since no other
			// daemon has held it in the meantime.
			acquire(version);
		}
	}

	private void handleOther(long version, Optional<LeaseValue> value) {
		if (value.isPresent() && value.get().released()) {
			acquire(version);
			return;
		}
		long now = this.context.scheduler().nanos();
		ObservedLease current = new ObservedLease(version, value, now);
		if (this.observed == null || !this.observed.sameAs(current)) {
			this.observed = current;
		}
		Duration duration = value.map(LeaseValue::duration).orElse(this.context.settings().duration());
		Duration wait = duration.plus(this.context.settings().margin());
		long remaining = this.observed.firstSeen() + wait.toNanos() - now;
		if (remaining <= 0) {
			acquire(version);
		}
		else {
			long delay = Math.min(remaining, this.context.readDelay().toNanos());
			scheduleStep(Duration.ofNanos(delay));
		}
	}

	private void handleFailure(Attempt attempt, Throwable failure) {
		PlatformException.Kind kind = (failure instanceof PlatformException platform) ? platform.kind()
				: PlatformException.Kind.UNKNOWN_OUTCOME;
		if (kind == PlatformException.Kind.CONFLICT) {
			this.context.count("conflicts");
		}
		if (kind == PlatformException.Kind.UNKNOWN_OUTCOME) {
			this.object.recordUnknownOutcome(attempt);
		}
		boolean conflictWhileHeld = this.held != null && kind == PlatformException.Kind.CONFLICT;
		if (conflictWhileHeld || kind == PlatformException.Kind.UNKNOWN_OUTCOME) {
			read();
		}
		else {
			scheduleStep(this.context.settings().retryInterval());
		}
	}

	private void confirm(HeldLease lease, long version, long sentAt) {
		if (this.held != lease) {
			scheduleStep(Duration.ZERO);
			return;
		}
		lease.renewed(version, sentAt + this.context.settings().validity().toNanos());
		scheduleExpiry(lease);
		scheduleRenewal(sentAt);
	}

	private void beginTenure(long number, long version, long sentAt) {
		long remaining = this.context.remainingNanos(sentAt);
		if (remaining <= 0) {
			scheduleStep(this.context.settings().retryInterval());
			return;
		}
		long validUntil = this.context.scheduler().nanos() + remaining;
		HeldLease lease = new HeldLease(this.context.scheduler(), this.object.name(), number, version, validUntil);
		this.held = lease;
		this.lastNumber = number;
		this.observed = null;
		this.context.count("taken");
		logger.infof("Acquired lease %s", lease);
		scheduleExpiry(lease);
		scheduleRenewal(sentAt);
		this.listener.acquired(lease);
	}

	private void scheduleExpiry(HeldLease lease) {
		this.expiry.cancel();
		Duration remaining = Duration.ofNanos(lease.remainingNanos());
		this.expiry = this.context.scheduler().schedule(remaining, this::loseIfExpired);
	}

	private void scheduleRenewal(long sentAt) {
		long sinceSent = this.context.scheduler().nanos() - sentAt;
		scheduleStep(this.context.settings().renewInterval().minusNanos(sinceSent));
	}

	private void loseIfExpired() {
		if (this.held != null && !this.held.held()) {
			lose();
		}
	}

	private void lose() {
		HeldLease lease = this.held;
		if (lease == null) {
			return;
		}
		this.held = null;
		this.expiry.cancel();
		lease.end();
		this.context.count("lost");
		logger.infof("Lost lease %s", lease);
		this.listener.lost(lease);
	}

	private void write(Attempt attempt, Consumer<StoredObject> onSuccess) {
		this.object.write(attempt).whenComplete((stored, failure) -> {
			loseIfExpired();
			if (failure == null && this.stopped) {
				this.object.release(attempt.number(), stored.version());
			}
			else if (failure == null) {
				this.object.clearUnknownOutcomes();
				onSuccess.accept(stored);
			}
			else if (!this.stopped) {
				handleFailure(attempt, failure);
			}
		});
	}

}
