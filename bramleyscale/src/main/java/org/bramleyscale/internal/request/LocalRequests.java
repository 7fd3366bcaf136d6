package org.bramleyscale.internal.request;

import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.request.answer.AnswerLog;
import org.bramleyscale.internal.request.answer.RecordReader;
import org.bramleyscale.internal.request.attempt.Failures;
import org.bramleyscale.internal.request.forward.HomeRequests;
import org.bramleyscale.internal.request.life.LifeEvent;
import org.bramleyscale.internal.request.life.Outcome;
import org.bramleyscale.internal.request.life.RequestLife;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The requests whose home is this daemon. A request is started once, read by any number
 * of callers, and replayed after it completed.
 *
 * <p>
 * Invariants: a not-repeatable request is started at most once per id, and a reader is
 * notified of exactly one end. A request that ended without having run may be started
 * again, since its caller was notified that it did not run. Confined to the scheduler's
 * thread.
 */
final class LocalRequests implements HomeRequests {

	private static final Cancellable NO_OP = () -> {
	};

	private static final Duration LEAVING_RETRY_AFTER = Duration.ofMillis(100);

	private final Scheduler scheduler;

	private final RequestSettings settings;

	private final RequestMetrics metrics;

	private final RecordStore records;

	private final UsedIds usedIds;

	private final RequestIds ids;

	private final AccessCheck access;

	private final Dispatcher dispatcher;

	private final RequestFlow flow;

	private boolean leaving;

	LocalRequests(RequestPorts ports, RequestSettings settings, RequestMetrics metrics, RequestParts parts) {
		this.scheduler = ports.scheduler();
		this.settings = settings;
		this.metrics = metrics;
		this.records = parts.records();
		this.usedIds = parts.usedIds();
		this.ids = parts.ids();
		this.access = new AccessCheck(ports.configuration());
		this.flow = parts.flow();
		this.dispatcher = this.flow.dispatcher();
	}

	@Override
	public Cancellable generate(GenerateRequest request, RecordReader reader) {
		return submit(new Work.Generation(request), request.id(), reader);
	}

	@Override
	public Cancellable call(PlainRequest request, RecordReader reader) {
		return submit(new Work.Call(request), request.id(), reader);
	}

	@Override
	public Cancellable attach(RequestId id, ClientAccountId account, RecordReader reader) {
		Optional<RequestRecord> record = this.records.find(id).filter((found) -> found.account().equals(account));
		if (record.isEmpty()) {
			reader.failed(unknownRequest(id));
			return NO_OP;
		}
		return attach(record.get(), reader);
	}

	@Override
	public void cancel(RequestId id, ClientAccountId account) {
		this.records.find(id)
			.filter((found) -> found.account().equals(account) && !found.life().ended())
			.ifPresent(this.flow::cancelled);
	}

	@Override
	public Cancellable takeOver(GenerateRequest request, AnswerLog delivered, RecordReader reader) {
		return takeOver(new Work.Generation(request), request.id().orElseThrow(), delivered, reader);
	}

	@Override
	public Cancellable takeOver(PlainRequest request, RecordReader reader) {
		return takeOver(new Work.Call(request), request.id().orElseThrow(), null, reader);
	}

	boolean hasRecord(RequestId id) {
		return this.records.find(id).isPresent();
	}

	void leave() {
		this.leaving = true;
	}

	boolean leaving() {
		return this.leaving;
	}

	private Cancellable takeOver(Work work, RequestId oldId, AnswerLog delivered, RecordReader reader) {
		if (!work.repeatable()) {
			throw new IllegalArgumentException("request '" + oldId + "' is not repeatable");
		}
		Optional<RequestRecord> known = this.records.find(oldId);
		if (known.isPresent()) {
			return attachOrRestart(known.get(), work, reader);
		}
		// Safe because the request is repeatable. The new id distinguishes its frames
		// from those that attempts of the failed home daemon may still produce.
		RequestLife life = new RequestLife(Ran.UNKNOWN);
		if (delivered != null) {
			life.continueAt(delivered.next());
		}
		RequestRecord record = new RequestRecord(this.ids.next(), work, life, delivered, this.scheduler.nanos(), 0);
		Cancellable handle = start(record, reader);
		if (!record.life().ended()) {
			this.records.alias(oldId, record.id());
		}
		return handle;
	}

	private Cancellable submit(Work work, Optional<RequestId> id, RecordReader reader) {
		if (id.isEmpty()) {
			return start(newRecord(this.ids.next(), work, Ran.NO, 0), reader);
		}
		Optional<RequestRecord> known = this.records.find(id.get());
		if (known.isPresent()) {
			return attachOrRestart(known.get(), work, reader);
		}
		Optional<ServingException> refusal = usedIdRefusal(id.get());
		if (refusal.isPresent()) {
			reader.failed(refusal.get());
			return NO_OP;
		}
		return start(newRecord(id.get(), work, Ran.NO, 0), reader);
	}

	private RequestRecord newRecord(RequestId id, Work work, Ran earlierRan, int attempts) {
		AnswerLog log = (work instanceof Work.Generation) ? new AnswerLog() : null;
		return new RequestRecord(id, work, new RequestLife(earlierRan), log, this.scheduler.nanos(), attempts);
	}

	private Cancellable attachOrRestart(RequestRecord record, Work work, RecordReader reader) {
		if (!record.fingerprint().equals(work.fingerprint())) {
			reader.failed(new ServingException(ErrorCode.REQUEST_ID_REUSED, Ran.NO, Step.RECEIVE, "self",
					"request id '" + record.id() + "' belongs to a different request"));
			return NO_OP;
		}
		if (mayRestart(record)) {
			this.records.restart(record);
			Ran earlierRan = record.life().settledRan();
			return start(newRecord(record.id(), work, earlierRan, record.attempts()), reader);
		}
		this.metrics.replayed();
		return attach(record, reader);
	}

	private static boolean mayRestart(RequestRecord record) {
		boolean incomplete = record.life().outcome().filter((outcome) -> outcome != Outcome.COMPLETED).isPresent();
		return incomplete && (record.repeatable() || record.life().settledRan() == Ran.NO);
	}

	private Cancellable start(RequestRecord record, RecordReader reader) {
		try {
			checkNotLeaving();
			this.access.check(record.work());
			this.dispatcher.admit(record);
			markUsed(record);
		}
		catch (ServingException ex) {
			ServingException refusal = Failures.withRan(ex, record.life().ran());
			this.metrics.ended(Outcome.REFUSED, refusal.ran());
			record.life().apply(new LifeEvent.Refused());
			reader.failed(refusal);
			return NO_OP;
		}
		record.life().apply(new LifeEvent.Admitted());
		record.life().apply(new LifeEvent.Queued());
		this.metrics.admitted();
		this.records.add(record);
		Duration timeLeft = Duration.ofNanos(record.deadline() - this.scheduler.nanos());
		record.deadlineTimer(this.scheduler.schedule(timeLeft, () -> this.flow.expired(record)));
		this.dispatcher.schedulePass();
		return attach(record, reader);
	}

	private void checkNotLeaving() throws ServingException {
		if (this.leaving) {
			throw new ServingException(ErrorCode.LEAVING, Ran.NO, Step.ADMIT, "self",
					"this daemon is leaving; use another address", LEAVING_RETRY_AFTER);
		}
	}

	private void markUsed(RequestRecord record) throws ServingException {
		if (record.repeatable() || RequestIds.hasIssuedForm(record.id())) {
			return;
		}
		if (!this.usedIds.add(record.id())) {
			this.dispatcher.ended(record, true, 0);
			throw new ServingException(ErrorCode.OVERLOADED, Ran.NO, Step.ADMIT, "self",
					"the table of caller-chosen request ids is full; omit the id to have the daemon issue one");
		}
	}

	private Cancellable attach(RequestRecord record, RecordReader reader) {
		if (!reader.begin(record.log())) {
			reader.failed(new ServingException(ErrorCode.BAD_REQUEST, record.life().ran(), Step.RESUME, "self",
					"the answer to request '" + record.id() + "' can't be read from the requested offset"));
			return NO_OP;
		}
		reader.admitted(record.id());
		if (record.life().ended()) {
			record.replay(reader);
			return NO_OP;
		}
		record.add(reader);
		if (record.log() != null) {
			reader.answerExtended(record.log());
		}
		return () -> detach(record, reader);
	}

	private void detach(RequestRecord record, RecordReader reader) {
		record.remove(reader);
		if (record.hasNoReaders() && record.repeatable() && !record.life().ended()) {
			record.orphanTimer(this.scheduler.schedule(this.settings.orphanGrace(), () -> this.flow.abandoned(record)));
		}
	}

	private Optional<ServingException> usedIdRefusal(RequestId id) {
		if (RequestIds.hasIssuedForm(id)) {
			return Optional.of((this.ids.issued(id)) ? unknownRequest(id)
					: new ServingException(ErrorCode.BAD_REQUEST, Ran.NO, Step.RECEIVE, "self",
							"request id '" + id + "' has the form of an issued one but was never issued"));
		}
		return this.usedIds.find(id).filter((ran) -> ran != Ran.NO).map((ran) -> unknownRequest(id));
	}

	private ServingException unknownRequest(RequestId id) {
		Ran ran = this.usedIds.find(id).orElse(Ran.UNKNOWN);
		return new ServingException(ErrorCode.UNKNOWN_REQUEST, ran, Step.RECEIVE, "self",
				"no record of request '" + id + "' is kept");
	}

}
