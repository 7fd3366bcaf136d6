package org.bramleyscale.internal.configuration;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;

import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;

/**
 * Keeps one waiting watch on the head, for as long as this daemon is to watch.
 *
 * <p>
 * Invariants: at most one call is under way, and each call's end starts the next one,
 * whatever the end was; a loop that breaks on one bad reply would leave a relay that
 * looks well and learns nothing. Confined to the scheduler's thread.
 */
final class ConfigurationWatch {

	private static final Logger logger = Logger.getLogger(ConfigurationWatch.class);

	private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

	private final ObjectStore objects;

	private final Scheduler scheduler;

	private final Duration wait;

	private final BooleanSupplier wanted;

	private final Listener listener;

	private OptionalLong revision = OptionalLong.empty();

	private StoredHead head = StoredHead.NONE;

	private boolean complained;

	private boolean stopped;

	ConfigurationWatch(ObjectStore objects, Scheduler scheduler, Duration wait, BooleanSupplier wanted,
			Listener listener) {
		this.objects = objects;
		this.scheduler = scheduler;
		this.wait = wait;
		this.wanted = wanted;
		this.listener = listener;
	}

	void start() {
		this.scheduler.execute(this::step);
	}

	void stop() {
		this.stopped = true;
	}

	private void step() {
		if (this.stopped) {
			return;
		}
		if (!this.wanted.getAsBoolean()) {
			this.revision = OptionalLong.empty();
			this.scheduler.schedule(RETRY_PAUSE, this::step);
			return;
		}
		long askedAt = this.scheduler.nanos();
		if (this.revision.isEmpty()) {
			this.objects.list(Head.KEY.kind()).whenComplete((batch, failure) -> ended(batch, failure, askedAt, true));
		}
		else {
			this.objects.watch(Head.KEY.kind(), this.revision.getAsLong(), this.wait)
				.whenComplete((batch, failure) -> ended(batch, failure, askedAt, false));
		}
	}

	private void ended(WatchBatch batch, Throwable failure, long askedAt, boolean listed) {
		this.scheduler.execute(() -> {
			Duration pause = RETRY_PAUSE;
			try {
				pause = process(batch, failure, askedAt, listed);
			}
			finally {
				this.scheduler.schedule(pause, this::step);
			}
		});
	}

	private Duration process(WatchBatch batch, Throwable failure, long askedAt, boolean listed) {
		if (failure != null || (batch.gap() && !listed)) {
			this.revision = OptionalLong.empty();
			return (failure != null) ? RETRY_PAUSE : Duration.ZERO;
		}
		Optional<StoredObject> newest = batch.changed()
			.stream()
			.filter((object) -> object.key().equals(Head.KEY))
			.reduce((first, second) -> second);
		if (!take(newest, listed)) {
			this.revision = OptionalLong.empty();
			return RETRY_PAUSE;
		}
		this.revision = OptionalLong.of(batch.revision());
		this.listener.headSeen(this.head.head(), askedAt);
		return pause(newest.isPresent() || listed, askedAt);
	}

	// A head that can't be read, or that is older than one seen before, confirms nothing.
	// Going on with the head seen before would vouch for a version that may be outdated.
	private boolean take(Optional<StoredObject> newest, boolean listed) {
		if (newest.isEmpty() && !listed) {
			return true;
		}
		try {
			StoredHead next = ConfigurationStore.head(newest);
			if (next.head().version() < this.head.head().version()) {
				return unusable("it names version " + next.head().version() + " where version "
						+ this.head.head().version() + " was seen before");
			}
			this.head = next;
			this.complained = false;
			return true;
		}
		catch (CompletionException ex) {
			return unusable(ex.getCause().getMessage());
		}
	}

	private boolean unusable(String reason) {
		if (!this.complained) {
			logger.errorf("The configuration's head in the platform can't be used: %s", reason);
		}
		this.complained = true;
		return false;
	}

	// A platform that answers at once instead of waiting would be asked in a busy loop.
	private Duration pause(boolean news, long askedAt) {
		boolean waited = this.scheduler.nanos() - askedAt >= this.wait.toNanos() / 2;
		return (news || waited) ? Duration.ZERO : this.wait.dividedBy(2);
	}

	/**
	 * Takes what the watch brings.
	 */
	@FunctionalInterface
	interface Listener {

		/**
		 * Called with the newest head after each successful call.
		 * @param head the head
		 * @param askedAt when the call was made; the head was the newest one no earlier
		 */
		void headSeen(Head head, long askedAt);

	}

}
