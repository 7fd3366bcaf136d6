package org.bramleyscale.daemon.demo.load;

import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import org.bramleyscale.internal.time.Scheduler;

/**
 * Sends the requests of a plan for a while and waits for all their outcomes.
 *
 * <p>
 * Requests are sent at their planned times, whether earlier ones have ended or not, so
 * that a slow system isn't spared. Confined to the scheduler's thread, but for
 * {@link #start()}.
 */
public final class LoadRun {

	private final Scheduler scheduler;

	private final LoadPlan plan;

	private final Map<String, DemoCaller> callers;

	private final long endNanos;

	private final Tally tally = new Tally();

	private final CompletableFuture<Tally> done = new CompletableFuture<>();

	private long dueNanos;

	private int open;

	private boolean sending = true;

	/**
	 * Prepares a run.
	 * @param scheduler runs the load
	 * @param plan the requests
	 * @param callers the callers by the name of their account
	 * @param length how long to send
	 */
	public LoadRun(Scheduler scheduler, LoadPlan plan, Map<String, DemoCaller> callers, Duration length) {
		this.scheduler = scheduler;
		this.plan = plan;
		this.callers = Map.copyOf(callers);
		this.dueNanos = scheduler.nanos();
		this.endNanos = this.dueNanos + length.toNanos();
	}

	/**
	 * Begins to send.
	 * @return completes once every request has its outcome
	 */
	public CompletableFuture<Tally> start() {
		this.scheduler.execute(this::schedule);
		return this.done;
	}

	/**
	 * Sends a request besides the planned ones.
	 * @param workload its kind
	 * @param tokens the length of its prompt
	 */
	public void send(Workload workload, int tokens) {
		this.scheduler.execute(() -> {
			if (this.sending) {
				send(this.plan.next(workload, tokens));
			}
		});
	}

	// Each time is planned from the one before, not from now: making a long prompt takes
	// time, and a load that waited for it would send less and spare the system.
	private void schedule() {
		this.dueNanos += this.plan.pause().toNanos();
		if (this.dueNanos - this.endNanos >= 0) {
			this.sending = false;
			completeIfDone();
			return;
		}
		this.scheduler.schedule(Duration.ofNanos(this.dueNanos - this.scheduler.nanos()), () -> {
			send(this.plan.next());
			schedule();
		});
	}

	private void send(PlannedRequest request) {
		this.open++;
		this.callers.get(request.workload().account()).send(request, (result) -> {
			this.open--;
			this.tally.add(result);
			completeIfDone();
		});
	}

	private void completeIfDone() {
		if (!this.sending && this.open == 0) {
			this.done.complete(this.tally);
		}
	}

}
