package org.bramleyscale.daemon.demo.load;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import org.HdrHistogram.Histogram;
import org.bramleyscale.daemon.demo.load.RequestResult.Outcome;

/**
 * Counts what became of the requests of a load.
 *
 * <p>
 * Confined to the thread that adds results until all are added.
 */
public final class Tally {

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double MICROS_PER_MILLI = 1000;

	private static final double P50 = 50;

	private static final double P95 = 95;

	private static final double P99 = 99;

	private static final int KEPT_DETAILS = 20;

	private final Map<Outcome, Integer> outcomes = new EnumMap<>(Outcome.class);

	private final Map<LengthBand, Histogram> firstTokens = new EnumMap<>(LengthBand.class);

	private final List<String> details = new ArrayList<>();

	private final Map<Integer, Set<String>> bookingIds = new LinkedHashMap<>();

	private final Set<Integer> completedBookings = new HashSet<>();

	private final Set<Integer> refusedBookings = new HashSet<>();

	private int admitted;

	private int issued;

	/**
	 * Adds a result.
	 * @param result the result
	 */
	public void add(RequestResult result) {
		this.issued++;
		this.admitted += result.admitted() ? 1 : 0;
		this.outcomes.merge(result.outcome(), 1, Integer::sum);
		result.firstTokenNanos()
			.ifPresent((nanos) -> histogram(LengthBand.of(result.request().promptTokens()))
				.recordValue(TimeUnit.NANOSECONDS.toMicros(nanos)));
		if (result.outcome() != Outcome.COMPLETED && this.details.size() < KEPT_DETAILS) {
			this.details.add(result.request().workload() + " " + result.request().number() + " " + result.outcome()
					+ ": " + result.detail());
		}
		if (!result.request().workload().generates()) {
			addBooking(result);
		}
	}

	public int issued() {
		return this.issued;
	}

	public int admitted() {
		return this.admitted;
	}

	public int count(Outcome outcome) {
		return this.outcomes.getOrDefault(outcome, 0);
	}

	/**
	 * The first requests that did not complete.
	 * @return what became of them in words
	 */
	public List<String> details() {
		return List.copyOf(this.details);
	}

	/**
	 * The times to the first token.
	 * @return percentiles by the name of the length band, for bands that had any
	 */
	public Map<String, Percentiles> firstTokenMillis() {
		Map<String, Percentiles> percentiles = new LinkedHashMap<>();
		this.firstTokens
			.forEach((band, histogram) -> percentiles.put(band.word(), new Percentiles(histogram.getTotalCount(),
					millis(histogram, P50), millis(histogram, P95), millis(histogram, P99))));
		return percentiles;
	}

	/**
	 * Compares the bookings' outcomes with what the service did.
	 * @param runs how often the service ran each request id
	 * @return what doesn't fit
	 */
	public BookingAudit audit(Map<String, Integer> runs) {
		int doubled = 0;
		int lost = 0;
		int refusedButRan = 0;
		for (Map.Entry<Integer, Set<String>> booking : this.bookingIds.entrySet()) {
			int times = booking.getValue().stream().mapToInt((id) -> runs.getOrDefault(id, 0)).sum();
			doubled += (times > 1) ? 1 : 0;
			lost += (times == 0 && this.completedBookings.contains(booking.getKey())) ? 1 : 0;
			refusedButRan += (times > 0 && this.refusedBookings.contains(booking.getKey())) ? 1 : 0;
		}
		return new BookingAudit(this.bookingIds.size(), doubled, lost, refusedButRan);
	}

	private void addBooking(RequestResult result) {
		int number = result.request().number();
		this.bookingIds.put(number, Set.copyOf(result.ids()));
		if (result.outcome() == Outcome.COMPLETED) {
			this.completedBookings.add(number);
		}
		if (result.outcome() == Outcome.REFUSED_NOT_RUN) {
			this.refusedBookings.add(number);
		}
	}

	private Histogram histogram(LengthBand band) {
		return this.firstTokens.computeIfAbsent(band, (key) -> new Histogram(SIGNIFICANT_DIGITS));
	}

	private static double millis(Histogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	/**
	 * Percentiles of times in milliseconds.
	 *
	 * @param count how many values
	 * @param p50 the median
	 * @param p95 95 in 100 are at most this
	 * @param p99 99 in 100 are at most this
	 */
	public record Percentiles(long count, double p50, double p95, double p99) {

	}

	/**
	 * How the bookings' outcomes compare with what the service did.
	 *
	 * @param bookings how many bookings were made
	 * @param doubled bookings that ran more than once
	 * @param lost bookings told as completed that never ran
	 * @param refusedButRan bookings refused as not run that ran
	 */
	public record BookingAudit(int bookings, int doubled, int lost, int refusedButRan) {

	}

}
