package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.IntPredicate;

/**
 * Callers that ask daemons for addresses, keep an answer for a while, and send each
 * request to one of its addresses. Every second one may run only once. Their first tries
 * are recorded. Confined to the test's thread.
 */
public final class SimulatedCallers {

	/**
	 * How long most callers keep an answer; one in three keeps it three times as long.
	 */
	private static final Duration KEPT = Duration.ofSeconds(1);

	private final GatewayFleet fleet;

	private final Random random;

	private final List<Caller> callers = new ArrayList<>();

	private final List<FirstTry> firstTries = new ArrayList<>();

	/**
	 * Creates callers that haven't asked yet.
	 * @param fleet the fleet they call
	 * @param count their number
	 * @param seed the seed of their choices
	 */
	public SimulatedCallers(GatewayFleet fleet, int count, long seed) {
		this.fleet = fleet;
		this.random = new Random(seed);
		for (int i = 0; i < count; i++) {
			this.callers.add(new Caller(KEPT.multipliedBy((i % 3 == 0) ? 3 : 1).toNanos()));
		}
	}

	/**
	 * Lets a caller drawn at random send one request.
	 */
	public void call() {
		Caller caller = this.callers.get(this.random.nextInt(this.callers.size()));
		long now = this.fleet.scheduler.nanos();
		if (caller.addresses.isEmpty() || now - caller.answeredAt > caller.keptNanos) {
			List<String> answer = this.fleet.daemons.get(this.random.nextInt(this.fleet.daemons.size())).addresses();
			if (!answer.isEmpty()) {
				caller.addresses = answer;
				caller.answeredAt = now;
			}
		}
		if (!caller.addresses.isEmpty()) {
			int daemon = SimulatedDaemon.indexOf(caller.addresses.get(this.random.nextInt(caller.addresses.size())));
			int number = this.firstTries.size();
			String path = (number % 2 == 0) ? GatewayFleet.REPEATABLE : GatewayFleet.NOT_REPEATABLE;
			this.firstTries.add(new FirstTry(now / 1_000_000, daemon, this.fleet.call(daemon, path, "call " + number)));
		}
	}

	/**
	 * The first tries that were sent in an interval.
	 * @param from its start, in ms
	 * @param to its end, exclusive, in ms
	 * @return the tries
	 */
	public List<FirstTry> firstTries(long from, long to) {
		return this.firstTries.stream().filter((each) -> each.millis >= from && each.millis < to).toList();
	}

	/**
	 * The outcomes of some first tries.
	 * @param tries the tries
	 * @param which selects the daemons
	 * @return the outcomes at these daemons
	 */
	public static Outcomes outcomes(List<FirstTry> tries, IntPredicate which) {
		List<FirstTry> chosen = tries.stream().filter((each) -> which.test(each.daemon)).toList();
		return new Outcomes(chosen.size(), (int) chosen.stream().filter(FirstTry::served).count());
	}

	/**
	 * The first try of a request.
	 *
	 * @param millis when it was sent, in ms
	 * @param daemon the daemon it was sent to
	 * @param caller records the answer
	 */
	public record FirstTry(long millis, int daemon, SimulatedCaller caller) {

		boolean served() {
			return this.caller.response().equals("200");
		}

		/**
		 * Whether it was refused because it may crash endpoints.
		 * @return true if it was
		 */
		public boolean suspected() {
			return this.caller.suspected();
		}

	}

	/**
	 * Counts of first tries.
	 *
	 * @param all all tries
	 * @param served those that were served
	 */
	public record Outcomes(int all, int served) {

		public int failed() {
			return this.all - this.served;
		}

		/**
		 * The share that was served.
		 * @return the share, 1 if there was no try
		 */
		public double share() {
			return (this.all == 0) ? 1 : (double) this.served / this.all;
		}

	}

	/**
	 * One caller and the addresses that it keeps.
	 */
	private static final class Caller {

		private final long keptNanos;

		private List<String> addresses = List.of();

		private long answeredAt;

		private Caller(long keptNanos) {
			this.keptNanos = keptNanos;
		}

	}

}
