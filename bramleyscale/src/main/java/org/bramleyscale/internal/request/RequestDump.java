package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.internal.request.forward.InboundForwards;
import org.bramleyscale.internal.request.forward.OutboundForwards;
import org.bramleyscale.internal.request.life.RequestState;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Clock;

/**
 * Shows the requests of a daemon to its operators, without prompts or answers.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class RequestDump implements StateDump {

	private static final int MOST_SHOWN = 100;

	private final Clock clock;

	private final RecordStore records;

	private final SpentIds spent;

	private final RequestFlow flow;

	private final OutboundForwards outbound;

	private final InboundForwards inbound;

	RequestDump(Clock clock, RecordStore records, SpentIds spent, RequestFlow flow, OutboundForwards outbound,
			InboundForwards inbound) {
		this.clock = clock;
		this.records = records;
		this.spent = spent;
		this.flow = flow;
		this.outbound = outbound;
		this.inbound = inbound;
	}

	@Override
	public String name() {
		return "request";
	}

	@Override
	public Object dump() {
		Map<RequestState, Integer> states = new EnumMap<>(RequestState.class);
		this.records.all().forEach((record) -> states.merge(record.life().state(), 1, Integer::sum));
		List<Entry> unfinished = this.records.all()
			.stream()
			.filter((record) -> !record.life().ended())
			.limit(MOST_SHOWN)
			.map(this::entry)
			.toList();
		return new Dump(states, this.records.unfinished(), this.records.endedCount(), this.records.endedBytes(),
				this.spent.size(), this.spent.bytes(), this.flow.unconfirmedCancels(), this.outbound.size(),
				this.inbound.size(), unfinished);
	}

	private Entry entry(RequestRecord record) {
		long left = record.deadline() - this.clock.nanos();
		String endpoint = record.running().map(RunningAttempt::peer).orElse("");
		return new Entry(record.id().toString(), record.account().toString(), record.service().toString(),
				record.life().state(), record.attempts(), record.life().offset(), record.readers(), endpoint,
				Duration.ofNanos(left).toMillis(), record.repeatable());
	}

	/**
	 * The whole dump.
	 *
	 * @param states records in each state
	 * @param unfinished requests that have not ended
	 * @param kept ended records kept for replay
	 * @param keptBytes memory that they take
	 * @param spentIds caller-chosen ids of not-repeatable requests
	 * @param spentBytes memory that they take
	 * @param unconfirmedCancels cancels that no engine has confirmed yet
	 * @param forwardsOut callers whose requests have their home elsewhere
	 * @param forwardsIn entries elsewhere that read requests of this home
	 * @param requests the first requests that have not ended
	 */
	record Dump(Map<RequestState, Integer> states, int unfinished, int kept, long keptBytes, int spentIds,
			long spentBytes, int unconfirmedCancels, int forwardsOut, int forwardsIn, List<Entry> requests) {
	}

	/**
	 * One request.
	 *
	 * @param id its id
	 * @param account whose it is
	 * @param service what it asks of
	 * @param state where it is in its life
	 * @param attempts how many attempts it has had
	 * @param tokens how many tokens of its answer are here
	 * @param readers how many read it
	 * @param endpoint where it runs, or empty
	 * @param millisLeft how long it may still take
	 * @param repeatable whether it may run more than once
	 */
	record Entry(String id, String account, String service, RequestState state, int attempts, long tokens, int readers,
			String endpoint, long millisLeft, boolean repeatable) {
	}

}
