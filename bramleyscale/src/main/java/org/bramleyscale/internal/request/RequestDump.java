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
 * Dumps the state of requests for operators, without prompts and answers.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class RequestDump implements StateDump {

	private static final int MAX_SHOWN = 100;

	private final Clock clock;

	private final RecordStore records;

	private final UsedIds usedIds;

	private final RequestFlow flow;

	private final OutboundForwards outbound;

	private final InboundForwards inbound;

	RequestDump(Clock clock, RecordStore records, UsedIds usedIds, RequestFlow flow, OutboundForwards outbound,
			InboundForwards inbound) {
		this.clock = clock;
		this.records = records;
		this.usedIds = usedIds;
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
			.limit(MAX_SHOWN)
			.map(this::entry)
			.toList();
		return new Dump(states, this.records.unfinished(), this.records.endedCount(), this.records.endedBytes(),
				this.usedIds.size(), this.usedIds.bytes(), this.flow.unconfirmedCancels(), this.outbound.size(),
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
	 * The dump.
	 *
	 * @param states the number of records in each state
	 * @param unfinished the number of requests that have not ended
	 * @param kept the number of ended records kept for replay
	 * @param keptBytes the size of these records
	 * @param spentIds the number of used caller-chosen ids of not-repeatable requests
	 * @param spentBytes the size of the table of these ids
	 * @param unconfirmedCancels the number of cancels not yet confirmed by an engine
	 * @param forwardsOut the number of callers whose requests have another home daemon
	 * @param forwardsIn the number of readers at other daemons of requests whose home is
	 * this daemon
	 * @param requests the first requests that have not ended
	 */
	record Dump(Map<RequestState, Integer> states, int unfinished, int kept, long keptBytes, int spentIds,
			long spentBytes, int unconfirmedCancels, int forwardsOut, int forwardsIn, List<Entry> requests) {
	}

	/**
	 * One request.
	 *
	 * @param id its id
	 * @param account the account of its caller
	 * @param service the requested service
	 * @param state its state
	 * @param attempts the number of attempts so far
	 * @param tokens the number of answer tokens received
	 * @param readers the number of readers
	 * @param endpoint the endpoint of the running attempt, or empty
	 * @param millisLeft the time until its deadline, in milliseconds
	 * @param repeatable whether it may run more than once
	 */
	record Entry(String id, String account, String service, RequestState state, int attempts, long tokens, int readers,
			String endpoint, long millisLeft, boolean repeatable) {
	}

}
