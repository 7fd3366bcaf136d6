package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.random.RandomGenerator;

import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.StoreRevision;
import org.bramleyscale.internal.platform.StoredObject;
import org.bramleyscale.internal.platform.UnreadableReplyException;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Follows one kind of objects in the platform's store, as one of a fleet.
 *
 * <p>
 * Each change completes every open watch, so if all daemons watched, a change would cost
 * as many calls as there are daemons. The first two daemons in the order watch and push
 * changes to the others. The others query the store only when their copies have not been
 * confirmed for a while, with a delay that grows with their rank, so that normally the
 * third daemon queries and the others receive its result. A daemon that finds a change
 * that no watcher has pushed watches for a while itself: the watchers may be frozen, cut
 * off, refused by the store, or hold connections that have gone silent.
 *
 * <p>
 * The store is at times down, slow or without its history. Each call ends within a
 * timeout of the adapter; after lost history, and after the store has come back from an
 * older copy of itself, the follower lists all objects again. After a failure the
 * watchers retry soon, and with short calls until the store answers, since on a silent
 * connection a watch blocks for its whole length. The others retry at a steady interval,
 * which bounds their delay once the store is available again even if no peer sends them
 * anything.
 *
 * <p>
 * Invariants: copies count as confirmed as of a time that isn't later than the time at
 * which the store made its answer, however long the answer is under way or waits to be
 * read; an answer that is older than what was known when it was asked for confirms
 * nothing. Confined to the scheduler's thread.
 */
public final class StoreFollower {

	/** The daemons that always watch: one may fail without a delay for the others. */
	static final int WATCHERS = 2;

	/** The interval between checks whether to call the store. */
	static final Duration TICK = Duration.ofMillis(100);

	/** How long a daemon that starts waits for the copies of its peers. */
	static final Duration PEER_WAIT = Duration.ofMillis(500);

	/**
	 * How long a daemon that starts waits before it lists objects of which it keeps exact
	 * copies, if it comes first in the order as far as it knows yet. Peers that are
	 * connected by then have sent theirs.
	 */
	static final Duration FIRST_WAIT = Duration.ofMillis(100);

	/** How long a daemon watches after it found a change that no watcher had pushed. */
	static final Duration STAND_IN_TIME = Duration.ofSeconds(10);

	/**
	 * A call that overruns its expected time by this has met a store that doesn't answer.
	 */
	private static final Duration CALL_OVERRUN = Duration.ofSeconds(1);

	/** The wait of a watch that is to return at once. */
	private static final Duration NO_WAIT = Duration.ofMillis(1);

	private final String kind;

	private final Scheduler scheduler;

	private final RetryPauses pauses;

	private final ObjectStore store;

	private final ObjectCopies copies;

	private final FollowOrder order;

	private final FollowTimes times;

	private final DecisionLog log;

	private final StoreAvailability availability;

	private final WatchHealth watches;

	private UpdateListener listener = (from) -> {
	};

	private long notBefore;

	private long standInUntil;

	private long peersUntil;

	private boolean awaitsConfirmation;

	private boolean emptyAtStart;

	private long gapsInARow;

	private StoreCall pendingCall;

	private boolean stopped;

	/**
	 * Creates a follower that isn't started.
	 * @param kind the kind of objects
	 * @param scheduler the daemon's scheduler
	 * @param random for the jitter of pauses
	 * @param store the store
	 * @param copies updated with the store's answers
	 * @param order the daemon's rank in the order of calls
	 * @param times the intervals and timeouts
	 * @param log takes a line when the store becomes unavailable and when it is available
	 * again
	 */
	public StoreFollower(String kind, Scheduler scheduler, RandomGenerator random, ObjectStore store,
			ObjectCopies copies, FollowOrder order, FollowTimes times, DecisionLog log) {
		this.kind = kind;
		this.scheduler = scheduler;
		this.pauses = new RetryPauses(times, random);
		this.store = store;
		this.copies = copies;
		this.order = order;
		this.times = times;
		this.log = log;
		this.availability = new StoreAvailability(scheduler, copies, times);
		this.watches = new WatchHealth(kind, scheduler, copies, order, times, this.availability, log);
		this.standInUntil = scheduler.nanos();
	}

	/**
	 * Sets the listener for answers of the store.
	 * @param listener called after an answer has been applied to the copies
	 */
	public void onUpdate(UpdateListener listener) {
		this.listener = listener;
	}

	/**
	 * Starts with a cached list. Exact copies start with those of peers or with a list
	 * that isn't cached, since the age of a cached one isn't known.
	 */
	public void start() {
		this.notBefore = this.scheduler.nanos();
		this.peersUntil = this.notBefore;
		if (this.copies.exact()) {
			this.awaitsConfirmation = true;
			this.notBefore += FIRST_WAIT.toNanos();
			this.peersUntil += PEER_WAIT.toNanos();
			this.scheduler.schedule(FIRST_WAIT, this::tick);
		}
		else {
			list(true);
		}
		this.scheduler.repeat(TICK, this::tick);
	}

	/**
	 * Has the store confirm the copies at once, instead of at the end of the pending
	 * watch; has no effect before the first list.
	 */
	public void confirmNow() {
		if (!this.stopped && this.copies.listed()) {
			this.awaitsConfirmation = true;
			this.pendingCall = null;
			this.notBefore = this.scheduler.nanos();
			watch(NO_WAIT);
		}
	}

	/**
	 * Whether a call that was started at or after a time has failed.
	 * @param time the scheduler's time
	 * @return true if the store was unavailable to this daemon since then
	 */
	public boolean failedSince(long time) {
		return this.availability.failedSince(time);
	}

	public void stop() {
		this.stopped = true;
	}

	/**
	 * Whether the last call failed.
	 * @return true if the store is unavailable to this daemon
	 */
	public boolean unavailable() {
		return this.availability.failures() > 0;
	}

	/**
	 * The time since the store last failed this daemon. The first answer after a failed
	 * call still counts as part of the failure, since it may report entries that expired
	 * meanwhile.
	 * @return the time since the last failed call, or since the answer after it
	 */
	public Duration sinceFailure() {
		return this.availability.sinceFailure();
	}

	/**
	 * The time since the last outage. A single failed call followed by a successful one
	 * is no outage, and neither are failures of this daemon's calls while the store
	 * answers others.
	 * @return the time since the last sign of an outage, or since the first answer after
	 * it
	 */
	public Duration sinceOutage() {
		return this.availability.sinceOutage();
	}

	/**
	 * The time since the last outage in which an object that is missing now may have
	 * expired. A peer may have been cut off longer than others, and report the end of an
	 * outage later than it was; an object that was there when the store last confirmed
	 * the copies went missing after that.
	 * @param reported the time since the last sign of an outage, as reported by peers
	 * @return the time since the last outage, as far as it may concern such an object
	 */
	public Duration sinceOutage(Duration reported) {
		return this.availability.sinceOutage(reported);
	}

	/**
	 * The time for which the store has not answered.
	 * @return the time since its last answer
	 */
	public Duration silence() {
		return this.availability.silence();
	}

	private void tick() {
		long now = this.scheduler.nanos();
		if (this.stopped || now - this.notBefore < 0
				|| (this.pendingCall != null && !this.watches.isStalled(this.pendingCall, now))) {
			return;
		}
		if (!this.copies.listed()) {
			if (isWatcher(now) || (now - this.peersUntil >= 0 && !isEmptyAsConfirmed(now))) {
				list(false);
			}
		}
		else if (isWatcher(now)) {
			watch((unavailable() || this.watches.abandoned() || isStale(now)) ? NO_WAIT : this.times.watch());
		}
		else if (now - this.copies.confirmedAt() >= checkDelay().toNanos()) {
			watch(NO_WAIT);
		}
	}

	/**
	 * Whether the kind had no objects when this daemon started, and peers still confirm
	 * their copies. Without this check each start costs a list of a kind that is nearly
	 * always empty.
	 * @param now the time
	 * @return true if this daemon's list would most likely be empty too
	 */
	private boolean isEmptyAsConfirmed(long now) {
		return this.emptyAtStart && now - this.copies.confirmedAt() < checkDelay().toNanos();
	}

	/**
	 * Whether exact copies need a confirmation sooner than at the end of a watch: they
	 * come from a peer whose own may be old. If the store has just answered this daemon,
	 * a change since then ends the next watch at once.
	 * @param now the time
	 * @return true if the next call is to return at once
	 */
	private boolean isStale(long now) {
		return isOutdated(now) && now - this.availability.lastAnswerAt() > this.times.checkAfter().toNanos();
	}

	/**
	 * Whether exact copies haven't been confirmed for a while.
	 * @param now the time
	 * @return true if their age exceeds that after which daemons query the store
	 */
	private boolean isOutdated(long now) {
		return this.copies.exact() && now - this.copies.confirmedAt() > this.times.checkAfter().toNanos();
	}

	private boolean isWatcher(long now) {
		return now - this.standInUntil < 0 || this.order.rank() < WATCHERS || this.order.isolated();
	}

	private Duration checkDelay() {
		return this.times.checkDelay(this.order.rank() - WATCHERS);
	}

	/**
	 * Reads all objects. For the first call a cached list that may be seconds old is
	 * sufficient, since peers or the first watch bring what is newer.
	 * @param first whether this is the daemon's first call
	 */
	private void list(boolean first) {
		if (first) {
			track(this.store.listCached(this.kind), StoreCall.NO_WATCH, 0, Duration.ZERO, (batch, startedAt) -> {
				this.copies.applyList(upToNewestObject(batch));
				this.emptyAtStart = batch.changed().isEmpty();
				this.notBefore = this.scheduler.nanos() + PEER_WAIT.toNanos();
			});
			return;
		}
		long known = this.copies.complete();
		CompletableFuture<WatchBatch> call = this.store.list(this.kind, this.availability::answeredInPart);
		track(call, StoreCall.NO_WATCH, known, Duration.ZERO, (batch, startedAt) -> {
			if (StoreRevision.era(known) != 0 && StoreRevision.isOfEarlierEra(known, batch.revision())) {
				cameBackOlder(known, batch.revision());
			}
			this.copies.applyList(batch);
			if (this.gapsInARow > 1) {
				this.notBefore = this.scheduler.nanos() + this.pauses.ofWatcher(this.gapsInARow - 1);
			}
			confirm(known, startedAt);
		});
	}

	/**
	 * Records that the store has come back from an older copy. Entries that the copy
	 * lacks count as expired in an outage, since their endpoints register again.
	 * @param known the revision of the copies
	 * @param revision the revision of the store's first list
	 */
	private void cameBackOlder(long known, long revision) {
		this.availability.cameBackOlder();
		this.log.belief("store", this.kind, "era", StoreRevision.era(revision), "revision",
				StoreRevision.revision(revision), "was", StoreRevision.text(known));
	}

	/**
	 * Limits the revision of a cached list to that of its newest object. The revision
	 * that the store returns with the list may be the current one; a watch from there
	 * would miss what changed since the list was cached, and the daemon would use an
	 * outdated document until the next change.
	 * @param cached the list
	 * @return the list with the revision of its newest object, 0 if it has none
	 */
	private static WatchBatch upToNewestObject(WatchBatch cached) {
		long newest = cached.changed().stream().mapToLong(StoredObject::version).max().orElse(0);
		return new WatchBatch(Math.min(newest, cached.revision()), cached.gap(), cached.changed());
	}

	private void watch(Duration wait) {
		long after = this.copies.complete();
		boolean byNonWatcher = !isWatcher(this.scheduler.nanos());
		track(this.store.watch(this.kind, after, wait), after, after, wait, (batch, startedAt) -> {
			if (batch.gap()) {
				if (this.copies.everConfirmed()) {
					this.log.belief("store", this.kind, "history", "lost", "revision", StoreRevision.text(after));
				}
				this.gapsInARow++;
				list(false);
				return;
			}
			this.gapsInARow = 0;
			long known = this.copies.lastChange();
			this.copies.applyChanges(batch);
			boolean changed = this.copies.lastChange() > known;
			if (changed) {
				this.notBefore = this.scheduler.nanos() + this.times.coalesce().toNanos();
			}
			if (changed && byNonWatcher) {
				this.standInUntil = this.scheduler.nanos() + STAND_IN_TIME.toNanos();
				this.log.belief("store", this.kind, "watchers", "behind", "revision",
						StoreRevision.text(this.copies.lastChange()), "known", StoreRevision.text(known));
			}
			// Only an empty result proves that nothing changed until the end of the
			// watch.
			boolean empty = batch.changed().isEmpty() && batch.deleted().isEmpty();
			confirm(after, (empty && this.watches.heldToItsEnd(startedAt, wait))
					? Math.min(startedAt + wait.toNanos(), this.scheduler.nanos()) : startedAt);
		});
	}

	private void confirm(long from, long confirmedAt) {
		this.awaitsConfirmation = false;
		this.copies.confirm(confirmedAt);
		this.listener.updated(from);
	}

	private void track(CompletableFuture<WatchBatch> call, long after, long known, Duration wait,
			AnswerHandler handler) {
		long now = this.scheduler.nanos();
		StoreCall started = new StoreCall(after, known, now, now + wait.toNanos(),
				now + wait.plus(CALL_OVERRUN).toNanos());
		this.pendingCall = started;
		this.watches.started(now);
		call.whenComplete((batch, failure) -> {
			if (this.stopped || this.pendingCall != started) {
				return;
			}
			this.pendingCall = null;
			Throwable cause = (failure instanceof CompletionException) ? failure.getCause() : failure;
			if (cause instanceof UnreadableReplyException) {
				unreadable(cause);
				return;
			}
			if (cause != null) {
				failed(cause, started);
				return;
			}
			if (isLate(batch)) {
				failed(new PlatformException(PlatformException.Kind.UNAVAILABLE, "answer of an earlier era"), started);
				return;
			}
			if (started.knewMoreThan(batch)) {
				failed(new PlatformException(PlatformException.Kind.UNAVAILABLE, "answer of revision "
						+ StoreRevision.text(batch.revision()) + " after " + StoreRevision.text(started.known())),
						started);
				return;
			}
			answered();
			handler.handle(batch, started.startedAt());
			tick();
		});
	}

	/**
	 * Records a reply that can't be read as a whole. The store is available, so its
	 * entries don't expire, and calls in a row would bring the same.
	 * @param cause why it can't be read
	 */
	private void unreadable(Throwable cause) {
		this.log.belief("store", this.kind, "state", "unreadable", "cause", cause.getMessage(), "revision",
				StoreRevision.text(this.copies.complete()));
		answered();
		this.notBefore = this.scheduler.nanos() + this.times.checkAfter().toNanos();
	}

	/**
	 * Whether an answer was made before the store came back from the copy that is already
	 * known. A cached list has no era, and is applied only if nothing better is known.
	 * @param batch the answer
	 * @return true if it is to be ignored
	 */
	private boolean isLate(WatchBatch batch) {
		return StoreRevision.era(batch.revision()) != 0
				&& StoreRevision.isOfEarlierEra(batch.revision(), this.copies.complete());
	}

	private void failed(Throwable failure, StoreCall call) {
		long now = this.scheduler.nanos();
		this.availability.failed(call);
		if (this.availability.failures() == 1) {
			this.log.belief("store", this.kind, "state", "lost", "cause", failure.getMessage(), "revision",
					StoreRevision.text(this.copies.complete()));
		}
		this.awaitsConfirmation = this.awaitsConfirmation && isOutdated(now);
		this.notBefore = retryAt(now, call);
		this.scheduler.schedule(Duration.ofNanos(this.notBefore - now), this::tick);
	}

	/**
	 * The time of the next call after a failure. A watcher retries soon, unless the store
	 * has answered other daemons since it last answered this one: it then refuses this
	 * daemon alone, for seconds, and each retry would be a call in vain. Such a watcher
	 * waits until a daemon that doesn't watch would query the store, too.
	 * @param now the time
	 * @param call the failed call
	 * @return the time
	 */
	private long retryAt(long now, StoreCall call) {
		if (!this.copies.listed() || this.awaitsConfirmation) {
			return now + this.pauses.ofWatcher(this.availability.failures());
		}
		if (!isWatcher(now)) {
			return call.startedAt() + this.pauses.ofOthers();
		}
		boolean confirmedByPeers = this.copies.confirmedAt() - this.availability.lastAnswerAt() > 0;
		long unconfirmedAt = this.copies.confirmedAt() + this.times.checkAfter().toNanos();
		long soon = now + this.pauses.ofWatcher(this.availability.failures());
		return (confirmedByPeers && unconfirmedAt - soon > 0) ? unconfirmedAt : soon;
	}

	private void answered() {
		this.watches.answered();
		if (unavailable()) {
			this.log.belief("store", this.kind, "state", "back", "failures", this.availability.failures(), "away_ms",
					silence().toMillis());
		}
		this.availability.answered();
	}

	/**
	 * A listener for answers of the store.
	 */
	@FunctionalInterface
	public interface UpdateListener {

		/**
		 * Called on the scheduler's thread.
		 * @param from the copies hold every change after this revision
		 */
		void updated(long from);

	}

	/**
	 * Applies an answer to the copies.
	 */
	@FunctionalInterface
	private interface AnswerHandler {

		void handle(WatchBatch batch, long startedAt);

	}

}
