package org.bramleyscale.daemon.demo.load;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.json.JsonMapper;
import org.bramleyscale.daemon.demo.load.RequestResult.Outcome;
import org.bramleyscale.internal.time.Scheduler;

/**
 * One streamed generation, resumed where its stream broke, and checked as a whole.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class GenerationRun extends RequestRun {

	private static final JsonMapper MAPPER = JsonMapper.builder().build();

	private static final String DONE = "[DONE]";

	private static final String ERROR = "error";

	private final ExpectedText expected;

	private final StringBuilder text = new StringBuilder();

	private long offset;

	private int stream;

	private boolean resuming;

	private boolean complete;

	private Failure told;

	GenerationRun(Scheduler scheduler, CallerClient client, AddressKeeper addresses, PlannedRequest request,
			ExpectedText expected, Consumer<RequestResult> done) {
		super(scheduler, client, addresses, request, done);
		this.expected = expected;
	}

	@Override
	void attempt(Entry entry) {
		this.told = null;
		CallerClient.Call call = this.resuming ? resumption(entry) : fresh(entry);
		// Events of an attempt that timed out may still arrive; mixed with those of the
		// next
		// they would garble the answer.
		this.stream++;
		int current = this.stream;
		client().streamed(call, (nanos, event, data) -> {
			if (current == this.stream) {
				event(nanos, event, data);
			}
		}).whenComplete((answer, failure) -> {
			if (!ended()) {
				answered(answer, failure);
			}
		});
	}

	private CallerClient.Call fresh(Entry entry) {
		this.text.setLength(0);
		this.offset = 0;
		newId(entry);
		Map<String, Object> body = Map.of("model", model(), "max_tokens", request().workload().answerTokens(), "stream",
				true, "messages", List.of(Map.of("role", "user", "content", request().content())));
		try {
			return new CallerClient.Call(entry.address(), "POST", "/v1/chat/completions", headers(true),
					MAPPER.writeValueAsString(body), patience());
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("the body can't be written", ex);
		}
	}

	private CallerClient.Call resumption(Entry entry) {
		return new CallerClient.Call(entry.address(), "GET",
				"/v1/requests/" + id() + "/stream?offset=" + this.offset + "&format=chat&model=" + model(), Map.of(),
				"", patience());
	}

	private String model() {
		return request().workload().model();
	}

	private void event(long nanos, String event, String data) {
		if (ended() || this.complete) {
			return;
		}
		if (event.equals(ERROR)) {
			this.told = Failure.told(data);
		}
		else if (data.equals(DONE)) {
			this.complete = true;
			finish();
		}
		else {
			tokens(nanos, data);
		}
	}

	private void tokens(long nanos, String data) {
		try {
			JsonNode event = MAPPER.readTree(data);
			admitted();
			int tokens = event.path("tokens").asInt();
			if (tokens == 0) {
				return;
			}
			firstToken(nanos);
			if (event.path("offset").asLong() != this.offset) {
				end(Outcome.LOST, "expected offset " + this.offset + ", got " + data);
				return;
			}
			this.text.append(event.path("choices").path(0).path("delta").path("content").asText());
			this.offset += tokens;
		}
		catch (JsonProcessingException ex) {
			end(Outcome.LOST, "unreadable event " + data);
		}
	}

	private void finish() {
		String whole = this.expected.text("user: " + request().content() + "\n", this.offset);
		if (this.offset == 0 || !whole.contentEquals(this.text)) {
			end(Outcome.LOST, "the answer of " + this.offset + " tokens is not the whole answer to this prompt");
			return;
		}
		end(Outcome.COMPLETED, "");
	}

	private void answered(CallerClient.Answer answer, Throwable failure) {
		if (failure != null) {
			broken(Failure.connection(failure));
		}
		else if (!answer.ok()) {
			if (answer.admitted()) {
				admitted();
			}
			refused(Failure.told(answer.body()));
		}
		else if (this.told != null) {
			refused(this.told);
		}
		else {
			broken(new Failure(Failure.Kind.NO_ANSWER, "", Duration.ZERO, "the stream broke off"));
		}
	}

	private void broken(Failure failure) {
		this.resuming = this.resuming || failure.kind() == Failure.Kind.NO_ANSWER;
		retry(failure);
	}

	private void refused(Failure failure) {
		boolean startAnew = this.resuming
				&& (failure.kind() == Failure.Kind.UNKNOWN || failure.code().equals("UNKNOWN_REQUEST"));
		if (startAnew || failure.kind() == Failure.Kind.NOT_RUN) {
			this.resuming = false;
			retry(failure);
		}
		else {
			end((failure.kind() == Failure.Kind.UNKNOWN) ? Outcome.UNKNOWN : Outcome.FAILED, failure.detail());
		}
	}

}
