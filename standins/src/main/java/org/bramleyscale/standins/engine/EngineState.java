package org.bramleyscale.standins.engine;

import java.util.EnumSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.EndpointId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.internal.endpoint.CacheEvent;
import org.bramleyscale.internal.endpoint.CancelResult;
import org.bramleyscale.internal.endpoint.EngineHold;
import org.bramleyscale.internal.endpoint.EngineOrder;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A model engine without a model: its queue, its memory, its answers and its faults.
 *
 * <p>
 * Invariants: memory in use plus memory held never exceeds the capacity; an attempt runs
 * at most once; an attempt that was cancelled before it came is refused when it comes.
 * Deterministic for a given scheduler. Confined to the scheduler's thread.
 */
public final class EngineState {

	private final EndpointId name;

	private final EngineParameters parameters;

	private final Scheduler scheduler;

	private final long boot;

	private final PrefixCache cache;

	private final KvMemory memory;

	private final Batch batch;

	private final Map<AttemptKey, Attempt> attempts = new LinkedHashMap<>();

	private final Set<AttemptKey> cancelledUnseen = new LinkedHashSet<>();

	private final Orders orders;

	private final Set<Fault> faults = EnumSet.noneOf(Fault.class);

	private final EngineCounts counts = new EngineCounts();

	private final Cancellable reporting;

	private long arrivals;

	private LoadReport report;

	/**
	 * Starts an engine with empty memory.
	 * @param name its name
	 * @param parameters how it behaves
	 * @param scheduler its time
	 * @param boot a number that differs at each start
	 */
	public EngineState(EndpointId name, EngineParameters parameters, Scheduler scheduler, long boot) {
		this.name = name;
		this.parameters = parameters;
		this.scheduler = scheduler;
		this.boot = boot;
		this.cache = new PrefixCache(scheduler, parameters.cacheEventLag(), parameters.cacheEventGap());
		this.memory = new KvMemory(parameters.kvCapacity(), new Holds(scheduler), this.cache, this::ended);
		this.batch = new Batch(parameters, scheduler, this.memory);
		this.orders = new Orders(parameters.checksFencing(), parameters.models());
		this.report = currentReport(1);
		this.reporting = scheduler.repeat(parameters.reportLag(),
				() -> this.report = currentReport(this.report.sequence() + 1));
	}

	/**
	 * Starts an attempt, or reads it if it was started before.
	 * @param generation the order
	 * @param listener reads the answer; hears a refusal as its only event
	 */
	public void generate(Generation generation, AttemptListener listener) {
		Attempt known = this.attempts.get(generation.key());
		if (known != null) {
			known.read(generation.firstOffset(), listener);
			return;
		}
		Refusal refusal = refusal(generation);
		if (refusal != null) {
			this.counts.refused();
			listener.failed(refusal.code, Ran.NO, refusal.message);
			return;
		}
		this.counts.started(this.faults.contains(Fault.LEAVING));
		Attempt attempt = new Attempt(generation, this.arrivals++);
		this.memory.accepted(attempt);
		this.attempts.put(generation.key(), attempt);
		attempt.read(generation.firstOffset(), listener);
		this.batch.add(attempt);
	}

	private Refusal refusal(Generation generation) {
		if (this.cancelledUnseen.contains(generation.key())) {
			return new Refusal(ErrorCode.CANCELLED, "the attempt was cancelled before it came");
		}
		if (this.faults.contains(Fault.REFUSE)) {
			return new Refusal(ErrorCode.OVERLOADED, "told to refuse");
		}
		if (!this.orders.loaded(generation.model())) {
			return new Refusal(ErrorCode.UNKNOWN_MODEL, "model '" + generation.model() + "' is not loaded");
		}
		long delivered = generation.delivered().isEmpty() ? 0 : generation.firstOffset();
		if (!generation.delivered().equals(generation.prompt().answer().text(0, delivered))) {
			return new Refusal(ErrorCode.BAD_REQUEST, "the delivered text is not the beginning of the answer");
		}
		return memoryRefusal(generation);
	}

	private Refusal memoryRefusal(Generation generation) {
		Optional<String> hold = generation.ownHold();
		if (hold.isPresent()) {
			return this.memory.kept(hold.get()) ? null
					: new Refusal(ErrorCode.CONFLICT, "there is no hold '" + hold.get() + "'");
		}
		long needed = generation.prompt().tokens() + (long) generation.maxTokens();
		if (needed > this.parameters.kvCapacity()) {
			return new Refusal(ErrorCode.TOO_LARGE,
					needed + " tokens are more than this engine's " + this.parameters.kvCapacity() + " and need holds");
		}
		return null;
	}

	/**
	 * Reads a known attempt.
	 * @param key the attempt
	 * @param offset the first token wanted
	 * @param listener reads the answer
	 */
	public void resume(AttemptKey key, long offset, AttemptListener listener) {
		Attempt attempt = this.attempts.get(key);
		if (attempt == null) {
			listener.failed(ErrorCode.UNKNOWN_REQUEST, Ran.UNKNOWN, "this engine does not know the attempt");
			return;
		}
		attempt.read(offset, listener);
	}

	/**
	 * Cancels an attempt.
	 * @param key the attempt
	 * @return what was cancelled
	 */
	public CancelResult cancel(AttemptKey key) {
		Attempt attempt = this.attempts.get(key);
		if (attempt == null) {
			this.cancelledUnseen.add(key);
			this.scheduler.schedule(this.parameters.keepEnded(), () -> this.cancelledUnseen.remove(key));
			return CancelResult.NEVER_STARTED;
		}
		Attempt.Phase phase = attempt.phase();
		switch (phase) {
			case WAITING, RUNNING -> {
				attempt.stop((phase == Attempt.Phase.WAITING) ? Ran.NO : Ran.YES);
				this.batch.remove(attempt);
				this.counts.cancelled();
				return (phase == Attempt.Phase.WAITING) ? CancelResult.NEVER_STARTED : CancelResult.STOPPED;
			}
			default -> {
				return (phase == Attempt.Phase.DONE) ? CancelResult.FINISHED : CancelResult.STOPPED;
			}
		}
	}

	/**
	 * The newest report, which is already old.
	 * @return the report
	 */
	public LoadReport report() {
		return this.report;
	}

	public List<CacheEvent> cacheEvents(long after) {
		return this.cache.eventsAfter(after);
	}

	/**
	 * Takes an order.
	 * @param order the order
	 * @return false if fencing is checked and a newer number was seen
	 */
	public boolean order(EngineOrder order) {
		boolean taken = this.orders.take(order);
		if (!taken) {
			this.counts.fenced();
		}
		return taken;
	}

	public String role() {
		return this.orders.role();
	}

	public boolean hold(EngineHold hold) {
		return this.memory.hold(hold);
	}

	public void release(String hold) {
		this.memory.release(hold);
		this.batch.wake();
	}

	public List<EngineHold> holds() {
		return this.memory.holds();
	}

	/**
	 * Begins or ends a fault.
	 * @param fault the fault
	 * @param on whether it begins
	 */
	public void fault(Fault fault, boolean on) {
		if (on) {
			this.faults.add(fault);
		}
		else {
			this.faults.remove(fault);
		}
		switch (fault) {
			case FREEZE -> this.batch.freeze(on);
			case SLOW -> this.batch.slow(on);
			case SILENT_STREAMS -> this.attempts.values().forEach(Attempt::forgetReaders);
			default -> {
			}
		}
	}

	public boolean has(Fault fault) {
		return this.faults.contains(fault);
	}

	public EngineCounts counts() {
		return this.counts;
	}

	/**
	 * KV memory in use and held.
	 * @return tokens
	 */
	public long kvUsed() {
		return this.memory.used();
	}

	/**
	 * The requests for which memory is in use or held.
	 * @return their ids in written form
	 */
	public Set<String> requestsInMemory() {
		Set<String> requests = new LinkedHashSet<>();
		this.attempts.values()
			.stream()
			.filter((attempt) -> attempt.phase() == Attempt.Phase.RUNNING)
			.forEach((attempt) -> requests.add(attempt.generation().key().id()));
		holds().forEach((hold) -> requests.add(hold.hold().substring(0, hold.hold().lastIndexOf('.'))));
		return requests;
	}

	/**
	 * Ends all activity of this start of the engine.
	 */
	public void stop() {
		this.reporting.cancel();
		this.batch.freeze(true);
		this.attempts.values().forEach(Attempt::forgetReaders);
	}

	private void ended(Attempt attempt) {
		this.counts.ended();
		this.scheduler.schedule(this.parameters.keepEnded(),
				() -> this.attempts.remove(attempt.generation().key(), attempt));
	}

	private LoadReport currentReport(long sequence) {
		return new LoadReport(this.name, this.boot, sequence, this.batch.runningCount(), this.batch.waitingCount(),
				this.parameters.slots(), this.batch.queuedPrefillTokens(), kvUsed(), this.parameters.kvCapacity(),
				this.faults.contains(Fault.LEAVING), this.orders.models());
	}

	/**
	 * Why a generation is refused.
	 */
	private record Refusal(ErrorCode code, String message) {
	}

}
