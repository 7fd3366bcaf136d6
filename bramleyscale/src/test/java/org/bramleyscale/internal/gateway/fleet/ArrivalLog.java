package org.bramleyscale.internal.gateway.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The requests that reached endpoints, and the requests that ran at endpoints when these
 * crashed. Confined to the test's thread.
 */
public final class ArrivalLog {

	/** Number of crashes after which a request is known to crash endpoints. */
	public static final int REQUEST_THRESHOLD = 3;

	/** Number of crashes after which a part of prompts is known to crash endpoints. */
	public static final int PART_THRESHOLD = 5;

	private final List<Arrival> arrivals = new ArrayList<>();

	private final List<Crash> crashes = new ArrayList<>();

	void arrived(SentRequest sent, long millis) {
		this.arrivals.add(new Arrival(sent.text(), sent.parts(), millis, sent.from.settled()));
	}

	void crashed(Collection<SentRequest> running, long millis) {
		Set<String> parts = new HashSet<>();
		running.forEach((sent) -> parts.addAll(sent.parts()));
		Set<String> texts = new HashSet<>();
		running.forEach((sent) -> texts.add(sent.text()));
		this.crashes.add(new Crash(texts, parts, millis));
	}

	/**
	 * The times at which a request arrived at endpoints.
	 * @param text the request's body
	 * @return the times, in ms
	 */
	public List<Long> of(String text) {
		return this.arrivals.stream().filter((arrival) -> arrival.text.equals(text)).map(Arrival::millis).toList();
	}

	/**
	 * Counts the arrivals of a request at endpoints after all daemons must know that it
	 * crashes them. Only arrivals from settled daemons count: those that have run, with
	 * the store available, for {@link GatewayFleet#SETTLING_TIME}.
	 * @param text the request's body
	 * @return the number of arrivals
	 */
	public int late(String text) {
		List<Long> crashTimes = this.crashes.stream()
			.filter((crash) -> crash.texts.contains(text))
			.map(Crash::millis)
			.toList();
		if (crashTimes.size() < REQUEST_THRESHOLD) {
			return 0;
		}
		long known = crashTimes.get(REQUEST_THRESHOLD - 1) + GatewayFleet.SETTLING_TIME.toMillis();
		return (int) this.arrivals.stream()
			.filter((arrival) -> arrival.text.equals(text) && arrival.settled && arrival.millis > known)
			.count();
	}

	/**
	 * The times at which endpoints crashed that ran requests with a part.
	 * @param part the part's id
	 * @return the times, in ms
	 */
	public List<Long> crashesUnder(String part) {
		return this.crashes.stream().filter((crash) -> crash.parts.contains(part)).map(Crash::millis).toList();
	}

	/**
	 * Counts the arrivals from settled daemons of requests with a part, later than a time
	 * after the crash from which on the part is known to crash endpoints.
	 * @param part the part's id
	 * @param after the time
	 * @return the number of arrivals, 0 if too few endpoints crashed
	 */
	public long lateWithPart(String part, Duration after) {
		List<Long> crashTimes = crashesUnder(part);
		if (crashTimes.size() < PART_THRESHOLD) {
			return 0;
		}
		long known = crashTimes.get(PART_THRESHOLD - 1) + after.toMillis();
		return this.arrivals.stream()
			.filter((arrival) -> arrival.parts.contains(part) && arrival.settled && arrival.millis > known)
			.count();
	}

	/**
	 * A request that reached an endpoint.
	 *
	 * @param text the request's body
	 * @param parts the shared parts of its prompt
	 * @param millis the time of its arrival, in ms
	 * @param settled whether it came from a settled daemon
	 */
	private record Arrival(String text, List<String> parts, long millis, boolean settled) {
	}

	/**
	 * The crash of an endpoint.
	 *
	 * @param texts the bodies of the requests that ran there
	 * @param parts the shared parts of their prompts
	 * @param millis its time, in ms
	 */
	private record Crash(Set<String> texts, Set<String> parts, long millis) {
	}

}
