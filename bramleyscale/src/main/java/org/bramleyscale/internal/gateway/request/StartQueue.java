package org.bramleyscale.internal.gateway.request;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.BooleanSupplier;

import org.bramleyscale.internal.time.Scheduler;

/**
 * Holds requests that come before this daemon knows the configuration and the endpoints.
 *
 * <p>
 * After a loss of all daemons callers press on whoever is back first. It learns in a
 * tenth of a second what it needs; a caller that is refused meanwhile has lost one of two
 * tries, and comes back half a second later: twelve of the first thirty requests after a
 * loss of power were. Invariants: each request taken is passed on once and in order,
 * unless its caller has gone, at the latest {@link #LONGEST} after the start; later ones
 * aren't held at all. Confined to the scheduler's thread. <pre>
 * CallerRequests requests = new StartQueue(scheduler, node::ready, service);
 * </pre>
 */
public final class StartQueue implements CallerRequests {

	/**
	 * Copies of the store's objects come from peers or the store within 0.1 to 0.5 s of a
	 * start on the smallest VMs; a daemon that has none by then has lost the store.
	 */
	static final Duration LONGEST = Duration.ofMillis(500);

	/** The pause between looks; short prompts have 300 ms for the whole way. */
	private static final Duration LOOK = Duration.ofMillis(10);

	private final Scheduler scheduler;

	private final BooleanSupplier ready;

	private final CallerRequests next;

	private final Queue<Held> held = new ArrayDeque<>();

	private final long startedAt;

	private boolean open;

	/**
	 * Makes a queue that holds from now on.
	 * @param scheduler the daemon's scheduler
	 * @param ready whether the daemon knows what it needs
	 * @param next takes the requests then
	 */
	public StartQueue(Scheduler scheduler, BooleanSupplier ready, CallerRequests next) {
		this.scheduler = scheduler;
		this.ready = ready;
		this.next = next;
		this.startedAt = scheduler.nanos();
	}

	@Override
	public Runnable take(CallerRequest request, CallerReply reply) {
		if (opens()) {
			return this.next.take(request, reply);
		}
		if (this.held.isEmpty()) {
			this.scheduler.schedule(LOOK, this::look);
		}
		Held waiting = new Held(request, reply);
		this.held.add(waiting);
		return waiting::callerGone;
	}

	private boolean opens() {
		boolean over = this.scheduler.nanos() - this.startedAt >= LONGEST.toNanos();
		this.open = this.open || over || this.ready.getAsBoolean();
		return this.open && this.held.isEmpty();
	}

	private void look() {
		opens();
		if (!this.open) {
			this.scheduler.schedule(LOOK, this::look);
			return;
		}
		while (!this.held.isEmpty()) {
			this.held.remove().pass();
		}
	}

	/**
	 * A request that is held, or was.
	 */
	private final class Held {

		private final CallerRequest request;

		private final CallerReply reply;

		private final long takenAt = StartQueue.this.scheduler.nanos();

		private boolean gone;

		private Runnable whenGone = () -> {
		};

		private Held(CallerRequest request, CallerReply reply) {
			this.request = request;
			this.reply = reply;
		}

		private void pass() {
			if (!this.gone) {
				Duration waited = Duration.ofNanos(StartQueue.this.scheduler.nanos() - this.takenAt);
				this.whenGone = StartQueue.this.next.take(this.request.after(waited), this.reply);
			}
		}

		private void callerGone() {
			this.gone = true;
			this.whenGone.run();
		}

	}

}
