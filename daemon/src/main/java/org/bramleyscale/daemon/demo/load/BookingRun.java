package org.bramleyscale.daemon.demo.load;

import java.util.function.Consumer;

import org.bramleyscale.daemon.demo.load.RequestResult.Outcome;
import org.bramleyscale.internal.time.Scheduler;

/**
 * One booking, which must run at most once.
 *
 * <p>
 * While it is in doubt whether the booking was sent, each retry carries the same request
 * id, also at another entry. Confined to the scheduler's thread.
 */
final class BookingRun extends RequestRun {

	private boolean keepId;

	BookingRun(Scheduler scheduler, CallerClient client, AddressKeeper addresses, PlannedRequest request,
			Consumer<RequestResult> done) {
		super(scheduler, client, addresses, request, done);
	}

	@Override
	void attempt(Entry entry) {
		if (!this.keepId) {
			newId(entry);
		}
		client()
			.whole(new CallerClient.Call(entry.address(), "POST",
					"/v1/services/" + request().workload().service() + "/bookings", headers(false), request().content(),
					patience()))
			.whenComplete((answer, failure) -> {
				if (failure != null) {
					failed(Failure.connection(failure));
				}
				else {
					answered(answer);
				}
			});
	}

	private void answered(CallerClient.Answer answer) {
		if (answer.admitted()) {
			admitted();
		}
		if (answer.ok()) {
			end(Outcome.COMPLETED, "");
		}
		else {
			failed(Failure.told(answer.body()));
		}
	}

	private void failed(Failure failure) {
		switch (failure.kind()) {
			case RAN -> end(Outcome.FAILED, failure.detail());
			case UNKNOWN -> end(Outcome.UNKNOWN, failure.detail());
			case NOT_RUN -> {
				this.keepId = false;
				retry(failure);
			}
			case NO_ANSWER -> {
				// A new id would be a new booking: if the first one ran, two crushers
				// would go to one pit.
				this.keepId = true;
				retry(failure);
			}
			case NOT_SENT -> retry(failure);
		}
	}

}
