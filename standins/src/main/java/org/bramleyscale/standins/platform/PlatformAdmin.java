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
 * Admin routes of the platform stand-in, for tests and demos: fault injection and call
 * counts.
 *
 * <p>
 * Accesses the platform's state on the platform's thread. Safe for use by multiple
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
		Promise.<Object>async((downstream) -> this.service.scheduler().execute(() -> complete(action, downstream)))
			.then((result) -> context.getResponse().send("application/json", mapper.writeValueAsBytes(result)));
	}

	private static void complete(Factory<?> action, Downstream<? super Object> downstream) {
		try {
			downstream.success(action.create());
		}
		catch (Exception ex) {
			downstream.error(ex);
		}
	}

	/**
	 * The JSON form of a fault; operation, calls and delay are optional.
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
