package org.bramleyscale.standins.platform;

import java.time.Duration;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.ObjectMapper;
import ratpack.exec.Downstream;
import ratpack.exec.Promise;
import ratpack.func.Factory;
import ratpack.handling.Chain;
import ratpack.handling.Context;

/**
 * The part of the platform stand-in that tests and operators of a demo use: faults and
 * counts of calls.
 *
 * <p>
 * Reads and writes the platform's state on its own thread. Safe for use by multiple
 * threads.
 */
final class PlatformAdmin {

	private static final ObjectMapper mapper = new ObjectMapper();

	private final PlatformService service;

	PlatformAdmin(PlatformService service) {
		this.service = service;
	}

	void routes(Chain chain) throws Exception {
		chain.path("faults", this::faults);
		chain.get("calls", (context) -> send(context, this.service.state()::calls));
	}

	private void faults(Context context) throws Exception {
		context.byMethod((spec) -> spec.get(() -> send(context, this::activeFaults))
			.post(() -> inject(context))
			.delete(() -> clear(context)));
	}

	private List<FaultDocument> activeFaults() {
		return this.service.faults().active().stream().map(FaultDocument::of).toList();
	}

	private void inject(Context context) {
		context.getRequest().getBody().then((body) -> {
			PlatformFault fault = mapper.readValue(body.getBytes(), FaultDocument.class).toFault();
			send(context, () -> {
				this.service.faults().inject(fault);
				return Map.of("injected", true);
			});
		});
	}

	private void clear(Context context) {
		send(context, () -> {
			this.service.faults().clear();
			return Map.of("cleared", true);
		});
	}

	private void send(Context context, Factory<?> action) {
		Promise.<Object>async((downstream) -> this.service.scheduler().execute(() -> forward(action, downstream)))
			.then((result) -> context.getResponse().send("application/json", mapper.writeValueAsBytes(result)));
	}

	private static void forward(Factory<?> action, Downstream<? super Object> downstream) {
		try {
			downstream.success(action.create());
		}
		catch (Exception ex) {
			downstream.error(ex);
		}
	}

	/**
	 * The JSON form of a fault; operation, calls and delay may be left out.
	 */
	private record FaultDocument(PlatformFault.Kind kind, PlatformOperation operation, int calls, long delayMillis) {

		static FaultDocument of(PlatformFault fault) {
			return new FaultDocument(fault.kind(), fault.operation(), fault.calls(), fault.delay().toMillis());
		}

		PlatformFault toFault() {
			return new PlatformFault(this.kind, this.operation, this.calls, Duration.ofMillis(this.delayMillis));
		}

	}

}
