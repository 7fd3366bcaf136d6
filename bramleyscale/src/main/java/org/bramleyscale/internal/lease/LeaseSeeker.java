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
 * Seeks, renews and gives back one lease.
 *
 * <p>
 * Invariants: at most one call to the platform is under way; validity counts from before
 * the call that renewed the lease was sent, by the monotonic clock; another holder's
 * lease is taken over only after this daemon itself saw the same object unchanged for the
 * whole duration and margin, and only if it is still unchanged when the write takes
 * effect. Confined to the scheduler's thread.
 */
final class LeaseSeeker {

	private static final Logger logger = Logger.getLogger(LeaseSeeker.class);

	private static final Cancellable NOTHING = () -> {
	};

	private final LeaseContext context;

	private final LeaseObject object;

	private final LeaseListener listener;

	private HeldLease held;

	private Sighting sighting;

	private Cancellable nextStep = NOTHING;

	private Cancellable expiry = NOTHING;

	private long lastNumber;

	private boolean stopped;

	LeaseSeeker(LeaseContext context, String name, LeaseListener listener) {
		this.context = context;
		this.object = new LeaseObject(context, name);
		this.listener = listener;
	}

	void start() {
		next(Duration.ZERO);
	}

	void stop() {
		this.stopped = true;
		this.nextStep.cancel();
		HeldLease lease = this.held;
		if (lease != null) {
			lose();
			this.object.giveBack(lease.number(), lease.version());
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
		String holder = (this.sighting != null) ? this.sighting.holder() : "unknown";
		return new LeaseView(name, holder, 0, 0);
	}

	private void next(Duration delay) {
		if (!this.stopped) {
			this.nextStep = this.context.scheduler().schedule(delay, this::step);
		}
	}

	private void step() {
		loseIfLapsed();
		if (this.held != null) {
			renew(this.held);
		}
		else {
			look();
		}
	}

	private void renew(HeldLease lease) {
		Attempt attempt = this.object.attempt(lease.number(), lease.version());
		write(attempt, (stored) -> confirm(lease, stored.version(), attempt.sentAt()));
	}

	private void take(long expected) {
		if (this.stopped) {
			return;
		}
		Attempt attempt = this.object.attempt(expected + 1, expected);
		write(attempt, (stored) -> begin(attempt.number(), stored.version(), attempt.sentAt()));
	}

	private void look() {
		this.object.read().whenComplete((found, failure) -> {
			loseIfLapsed();
			if (failure != null) {
				next(this.context.settings().retryEvery());
			}
			else if (!this.stopped) {
				seen(found);
			}
		});
	}

	private void seen(Optional<StoredObject> found) {
		if (found.isEmpty()) {
			lose();
			take(0);
			return;
		}
		long version = found.get().version();
		Optional<LeaseValue> value = LeaseValue.decode(found.get().value());
		if (value.isPresent() && value.get().holder().equals(this.context.self().toString())) {
			seenOwn(version, value.get());
		}
		else {
			lose();
			seenOther(version, value);
		}
	}

	private void seenOwn(long version, LeaseValue value) {
		Optional<Long> sentAt = this.object.sentAt(value.nonce());
		if (this.held == null) {
			seenOwnUnheld(version, value, sentAt);
		}
		else if (this.held.number() != value.number()) {
			lose();
			take(version);
		}
		else if (sentAt.isPresent()) {
			this.object.settled();
			confirm(this.held, version, sentAt.get());
		}
		else {
			next(this.context.settings().retryEvery());
		}
	}

	private void seenOwnUnheld(long version, LeaseValue value, Optional<Long> sentAt) {
		this.object.settled();
		// A renewal that took effect late, after the lease had lapsed here, isn't a new
		// tenure: its number was used before.
		boolean newTenure = !value.released() && value.number() > this.lastNumber;
		if (newTenure && sentAt.isPresent() && this.context.remainingNanos(sentAt.get()) > 0) {
			begin(value.number(), version, sentAt.get());
		}
		else {
			// It lapsed here or was given back. No wait is needed: nobody else held it
			// since.
			take(version);
		}
	}

	private void seenOther(long version, Optional<LeaseValue> value) {
		if (value.isPresent() && value.get().released()) {
			take(version);
			return;
		}
		long now = this.context.scheduler().nanos();
		Sighting latest = new Sighting(version, value, now);
		if (this.sighting == null || !this.sighting.same(latest)) {
			this.sighting = latest;
		}
		Duration duration = value.map(LeaseValue::duration).orElse(this.context.settings().duration());
		Duration wait = duration.plus(this.context.settings().margin());
		long remaining = this.sighting.firstSeen() + wait.toNanos() - now;
		if (remaining <= 0) {
			take(version);
		}
		else {
			long pause = Math.min(remaining, this.context.readPause().toNanos());
			next(Duration.ofNanos(pause));
		}
	}

	private void settle(Attempt attempt, Throwable failure) {
		PlatformException.Kind kind = (failure instanceof PlatformException platform) ? platform.kind()
				: PlatformException.Kind.UNKNOWN_OUTCOME;
		if (kind == PlatformException.Kind.CONFLICT) {
			this.context.count("conflicts");
		}
		if (kind == PlatformException.Kind.UNKNOWN_OUTCOME) {
			this.object.unsettled(attempt);
		}
		boolean urgent = this.held != null && kind == PlatformException.Kind.CONFLICT;
		if (urgent || kind == PlatformException.Kind.UNKNOWN_OUTCOME) {
			look();
		}
		else {
			next(this.context.settings().retryEvery());
		}
	}

	private void confirm(HeldLease lease, long version, long sentAt) {
		if (this.held != lease) {
			next(Duration.ZERO);
			return;
		}
		lease.renewed(version, sentAt + this.context.settings().validity().toNanos());
		awaitExpiry(lease);
		nextRenewal(sentAt);
	}

	private void begin(long number, long version, long sentAt) {
		long remaining = this.context.remainingNanos(sentAt);
		if (remaining <= 0) {
			next(this.context.settings().retryEvery());
			return;
		}
		long validUntil = this.context.scheduler().nanos() + remaining;
		HeldLease lease = new HeldLease(this.context.scheduler(), this.object.name(), number, version, validUntil);
		this.held = lease;
		this.lastNumber = number;
		this.sighting = null;
		this.context.count("taken");
		logger.infof("Took lease %s", lease);
		awaitExpiry(lease);
		nextRenewal(sentAt);
		this.listener.taken(lease);
	}

	private void awaitExpiry(HeldLease lease) {
		this.expiry.cancel();
		Duration remaining = Duration.ofNanos(lease.remainingNanos());
		this.expiry = this.context.scheduler().schedule(remaining, this::loseIfLapsed);
	}

	private void nextRenewal(long sentAt) {
		long sinceSent = this.context.scheduler().nanos() - sentAt;
		next(this.context.settings().renewEvery().minusNanos(sinceSent));
	}

	private void loseIfLapsed() {
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

	private void write(Attempt attempt, Consumer<StoredObject> written) {
		this.object.write(attempt).whenComplete((stored, failure) -> {
			loseIfLapsed();
			if (failure == null && this.stopped) {
				this.object.giveBack(attempt.number(), stored.version());
			}
			else if (failure == null) {
				this.object.settled();
				written.accept(stored);
			}
			else if (!this.stopped) {
				settle(attempt, failure);
			}
		});
	}

}
