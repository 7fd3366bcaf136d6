package org.bramleyscale.standins.fleet;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.internal.address.AddressAnswer;
import org.bramleyscale.internal.endpoint.ServiceReply;
import org.bramleyscale.internal.request.PlainRequest;
import org.bramleyscale.internal.request.PlainSink;

/**
 * A caller that makes one booking and reuses its request id while it is unknown whether
 * the booking was sent.
 *
 * <p>
 * Some ids carry the prefix of another entry than the one called. The caller takes a new
 * id only after a failure which says that the old one did not run. It checks that there
 * is at most one booking, that no id reported as not run was booked, and that a confirmed
 * id was booked. Confined to the test's thread.
 */
final class BookingCaller extends ScriptedCaller {

	private static final Duration LIMIT = Duration.ofSeconds(6);

	private static final int CREATED = 201;

	private final Set<RequestId> usedIds = new HashSet<>();

	private final Set<RequestId> notRunIds = new HashSet<>();

	private RequestId id;

	private boolean reuseId;

	private boolean confirmed;

	BookingCaller(CallerContext context, int number) {
		super(context, number, LIMIT);
	}

	@Override
	FleetDaemon.Call send(FleetDaemon daemon, AddressAnswer.Entry entry, int attempt) {
		if (!this.reuseId) {
			List<AddressAnswer.Entry> entries = addresses().entries(account());
			boolean usesOtherPrefix = number() % 3 == 0;
			this.id = newId(usesOtherPrefix ? entries.get(entries.size() - 1) : entry);
			this.usedIds.add(this.id);
		}
		Sink sink = new Sink(attempt);
		PlainRequest request = new PlainRequest(Optional.of(this.id), account(), FleetDocuments.BOOKING, "POST",
				"/bookings", Map.of(), ("booking " + number()).getBytes(StandardCharsets.UTF_8), false, timeLeft());
		return daemon.call((requests) -> requests.call(request, sink), sink::failed, () -> disconnected(attempt));
	}

	@Override
	void onDisconnect() {
		this.reuseId = true;
		addresses().invalidate(account());
		retry(Duration.ZERO);
	}

	@Override
	void onFailure(ServingException failure) {
		if (failure.ran() != Ran.NO) {
			end(failure.code() + " ran " + failure.ran());
			return;
		}
		this.notRunIds.add(this.id);
		this.reuseId = false;
		retry(failure.retryAfter().orElse(Duration.ZERO));
	}

	@Override
	void check() {
		int times = this.usedIds.stream().mapToInt(this::executions).sum();
		if (times > 1) {
			violations().add(this + " made " + times + " bookings with ids " + this.usedIds);
		}
		this.notRunIds.stream()
			.filter((usedId) -> executions(usedId) > 0)
			.forEach((usedId) -> violations().add(this + " got " + usedId + " reported as not run, but it ran"));
		if (this.confirmed && executions(this.id) != 1) {
			violations().add(this + " got " + this.id + " confirmed, but it is not booked exactly once");
		}
	}

	private int executions(RequestId usedId) {
		return fleet().endpoints()
			.serviceNames()
			.stream()
			.mapToInt((name) -> fleet().endpoints().service(name).executions().getOrDefault(usedId.toString(), 0))
			.sum();
	}

	/**
	 * Receives the events of one attempt.
	 */
	private final class Sink implements PlainSink {

		private final int attempt;

		private boolean ended;

		private Sink(int attempt) {
			this.attempt = attempt;
		}

		@Override
		public void admitted(RequestId issued) {
		}

		@Override
		public void completed(ServiceReply reply) {
			requireOpen();
			if (completeAttempt(this.attempt)) {
				BookingCaller.this.confirmed = reply.status() == CREATED;
				end("status " + reply.status());
			}
		}

		@Override
		public void failed(ServingException failure) {
			requireOpen();
			BookingCaller.this.failed(this.attempt, failure);
		}

		private void requireOpen() {
			if (this.ended) {
				violations().add(BookingCaller.this + " received a second end of an attempt");
			}
			this.ended = true;
		}

	}

}
