package org.bramleyscale.daemon.demo.load;

import java.util.List;
import java.util.function.Consumer;

import org.bramleyscale.internal.http.HttpExecution;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The caller of one client account, as the user guide asks callers to behave.
 *
 * <p>
 * It asks for addresses and keeps the answer, tries another entry when one can't be
 * reached, resumes broken streams, and repeats a booking in doubt under the same request
 * id. Confined to the scheduler's thread. <pre>
 * DemoCaller caller = new DemoCaller(scheduler, execution, key, List.of("127.0.0.1:8080"), expected);
 * scheduler.execute(() -&gt; caller.send(request, tally::add));
 * </pre>
 */
public final class DemoCaller {

	private final Scheduler scheduler;

	private final CallerClient client;

	private final AddressKeeper addresses;

	private final ExpectedText expected;

	/**
	 * Makes a caller.
	 * @param scheduler runs the caller; the execution must use the same
	 * @param execution the HTTP clients
	 * @param key the account's API key
	 * @param bootstrap {@code host:port} of entries to ask for addresses at first
	 * @param expected knows the right answers
	 */
	public DemoCaller(Scheduler scheduler, HttpExecution execution, String key, List<String> bootstrap,
			ExpectedText expected) {
		this.scheduler = scheduler;
		this.client = new CallerClient(execution, scheduler, key);
		this.addresses = new AddressKeeper(this.client, scheduler, bootstrap);
		this.expected = expected;
	}

	/**
	 * Sends a request and sees it to its end.
	 * @param request the request
	 * @param done takes the result, once
	 */
	public void send(PlannedRequest request, Consumer<RequestResult> done) {
		if (request.workload().generates()) {
			new GenerationRun(this.scheduler, this.client, this.addresses, request, this.expected, done).start();
		}
		else {
			new BookingRun(this.scheduler, this.client, this.addresses, request, done).start();
		}
	}

}
