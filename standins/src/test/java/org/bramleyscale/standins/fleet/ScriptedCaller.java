package org.bramleyscale.standins.fleet;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.address.AddressAnswer;
import org.bramleyscale.internal.time.ManualScheduler;

/**
 * One request of a caller, from its first attempt to its outcome.
 *
 * <p>
 * Checks that each attempt ends exactly once, and before its deadline unless its daemon
 * crashed or was paused meanwhile. Confined to the test's thread.
 */
abstract class ScriptedCaller {

	private static final Duration RETRY_DELAY = Duration.ofMillis(50);

	private static final Duration TOLERANCE = Duration.ofMillis(500);

	private static final int MAX_ATTEMPTS = 8;

	private final Fleet fleet;

	private final AddressCache addresses;

	private final MemoryRetentionCheck memory;

	private final Violations violations;

	private final int number;

	private final ClientAccountId account;

	private final long deadline;

	private int attempts;

	private int currentAttempt;

	private String outcome;

	private String lastFailure = "no connection";

	private FleetDaemon.Call call;

	ScriptedCaller(CallerContext context, int number, Duration limit) {
		this.fleet = context.fleet();
		this.addresses = context.addresses();
		this.memory = context.memory();
		this.violations = context.violations();
		this.number = number;
		this.account = FleetDocuments.ACCOUNTS.get(number % FleetDocuments.ACCOUNTS.size());
		this.deadline = this.fleet.scheduler().nanos() + limit.toNanos();
	}

	/**
	 * Sends the request, or resumes its answer.
	 * @param daemon the daemon
	 * @param entry the entry as listed in the address answer
	 * @param attempt the attempt's number, which identifies events of abandoned attempts
	 * @return the connection
	 */
	abstract FleetDaemon.Call send(FleetDaemon daemon, AddressAnswer.Entry entry, int attempt);

	/**
	 * Called when the connection of an attempt breaks before its answer.
	 */
	abstract void onDisconnect();

	/**
	 * Called when an attempt ends with a reported failure.
	 * @param failure the failure
	 */
	abstract void onFailure(ServingException failure);

	/**
	 * Checks at the end of the run the results reported to the caller.
	 */
	abstract void check();

	void start() {
		next();
	}

	boolean ended() {
		return this.outcome != null;
	}

	String outcome() {
		return this.outcome;
	}

	ClientAccountId account() {
		return this.account;
	}

	int number() {
		return this.number;
	}

	Violations violations() {
		return this.violations;
	}

	MemoryRetentionCheck memory() {
		return this.memory;
	}

	Fleet fleet() {
		return this.fleet;
	}

	AddressCache addresses() {
		return this.addresses;
	}

	ManualScheduler scheduler() {
		return this.fleet.scheduler();
	}

	Duration timeLeft() {
		return Duration.ofNanos(Math.max(1_000_000, this.deadline - scheduler().nanos()));
	}

	RequestId newId(AddressAnswer.Entry entry) {
		return RequestId.parse(entry.requestIdPrefix() + "~c" + this.number + "." + this.attempts);
	}

	boolean isCurrent(int attempt) {
		return this.outcome == null && attempt == this.currentAttempt;
	}

	/**
	 * Records the end of an attempt.
	 * @param attempt the attempt
	 * @return false if the attempt had been abandoned
	 */
	boolean completeAttempt(int attempt) {
		if (!isCurrent(attempt)) {
			return false;
		}
		this.currentAttempt = -attempt;
		this.call.markAnswered();
		return true;
	}

	/**
	 * Handles a failure of an attempt, unless that attempt has been abandoned.
	 * @param attempt the attempt
	 * @param failure the failure
	 */
	void failed(int attempt, ServingException failure) {
		if (completeAttempt(attempt)) {
			this.lastFailure = failure.code() + " at " + failure.step();
			onFailure(failure);
		}
	}

	void end(String result) {
		this.outcome = result;
	}

	void retry(Duration delay) {
		if (this.attempts >= MAX_ATTEMPTS || timeLeft().compareTo(delay) <= 0) {
			end("abandoned after " + this.lastFailure);
			return;
		}
		scheduler().schedule(delay.isZero() ? RETRY_DELAY : delay, this::next);
	}

	private void next() {
		List<AddressAnswer.Entry> entries = this.addresses.entries(this.account);
		int attempt = ++this.attempts;
		if (entries.isEmpty()) {
			this.addresses.invalidate(this.account);
			retry(RETRY_DELAY);
			return;
		}
		AddressAnswer.Entry entry = entries.get((attempt - 1) % entries.size());
		this.addresses.connect(entry).ifPresentOrElse((daemon) -> {
			this.currentAttempt = attempt;
			this.call = send(daemon, entry, attempt);
			expectEnd(attempt, daemon, timeLeft().plus(TOLERANCE));
		}, () -> {
			this.addresses.invalidate(this.account);
			retry(RETRY_DELAY);
		});
	}

	private void expectEnd(int attempt, FleetDaemon daemon, Duration timeout) {
		scheduler().schedule(timeout, () -> {
			if (!isCurrent(attempt)) {
				return;
			}
			long sinceResumed = scheduler().nanos() - daemon.resumedAt();
			if (!daemon.running() || sinceResumed < TOLERANCE.toNanos()) {
				expectEnd(attempt, daemon, TOLERANCE);
				return;
			}
			this.violations.add(this + " had no end within its deadline at " + daemon);
			this.call.disconnect();
			end("no end");
		});
	}

	void disconnected(int attempt) {
		if (isCurrent(attempt)) {
			this.currentAttempt = -attempt;
			onDisconnect();
		}
	}

	@Override
	public String toString() {
		return getClass().getSimpleName() + " " + this.number + " of " + this.account;
	}

}
