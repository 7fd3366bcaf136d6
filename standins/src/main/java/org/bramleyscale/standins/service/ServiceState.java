package org.bramleyscale.standins.service;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The bookings of one instance and how often each request made one.
 *
 * <p>
 * Invariant: each call that reaches its effect is counted under its request id, so that
 * lost and doubled bookings show. The service itself doesn't recognise a repeated
 * request. Confined to the scheduler's thread.
 */
public final class ServiceState {

	private static final int SLOWDOWN = 10;

	private final EndpointId name;

	private final Scheduler scheduler;

	private final Duration delay;

	private final int slots;

	private final long boot;

	private final List<Booking> bookings = new ArrayList<>();

	private final Map<String, Integer> executions = new LinkedHashMap<>();

	private final Set<ServiceFault> faults = EnumSet.noneOf(ServiceFault.class);

	private int running;

	private long reports;

	private long startedWhileLeaving;

	/**
	 * Starts an instance without bookings.
	 * @param name its name
	 * @param delay how long a call takes
	 * @param slots how many calls it reports to take at once
	 * @param scheduler its time
	 * @param boot a number that differs at each start
	 */
	public ServiceState(EndpointId name, Duration delay, int slots, Scheduler scheduler, long boot) {
		this.name = name;
		this.delay = delay;
		this.slots = slots;
		this.scheduler = scheduler;
		this.boot = boot;
	}

	/**
	 * Makes a booking after the service's delay.
	 * @param requestId the request's id
	 * @param text what to book
	 * @param result takes the booking, or null if there is none
	 */
	public void book(String requestId, String text, Consumer<Booking> result) {
		if (has(ServiceFault.LEAVING)) {
			this.startedWhileLeaving++;
		}
		later(() -> {
			if (has(ServiceFault.REFUSE) || has(ServiceFault.DIE_BEFORE_EFFECT)) {
				result.accept(null);
				return;
			}
			Booking booking = new Booking(this.bookings.size() + 1, requestId, text);
			this.bookings.add(booking);
			this.executions.merge(requestId, 1, Integer::sum);
			result.accept(booking);
		});
	}

	/**
	 * Runs something after the service's delay.
	 * @param task what to run
	 */
	public void later(Runnable task) {
		this.running++;
		Duration taken = has(ServiceFault.SLOW) ? this.delay.multipliedBy(SLOWDOWN) : this.delay;
		this.scheduler.schedule(taken, () -> {
			this.running--;
			task.run();
		});
	}

	public List<Booking> bookings() {
		return List.copyOf(this.bookings);
	}

	/**
	 * How often each request had its effect.
	 * @return counts by request id
	 */
	public Map<String, Integer> executions() {
		return Map.copyOf(this.executions);
	}

	public long startedWhileLeaving() {
		return this.startedWhileLeaving;
	}

	/**
	 * The load now.
	 * @return a report without KV memory
	 */
	public LoadReport report() {
		return new LoadReport(this.name, this.boot, ++this.reports, Math.min(this.running, this.slots),
				Math.max(0, this.running - this.slots), this.slots, 0, 0, 0, has(ServiceFault.LEAVING), List.of());
	}

	/**
	 * Begins or ends a fault.
	 * @param fault the fault
	 * @param on whether it begins
	 */
	public void fault(ServiceFault fault, boolean on) {
		if (on) {
			this.faults.add(fault);
		}
		else {
			this.faults.remove(fault);
		}
	}

	public boolean has(ServiceFault fault) {
		return this.faults.contains(fault);
	}

}
