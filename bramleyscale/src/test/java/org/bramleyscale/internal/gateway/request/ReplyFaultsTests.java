package org.bramleyscale.internal.gateway.request;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.LongStream;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Plays endpoints that say anything, in any framing and at any moment, and checks that
 * each caller's response is valid and ends exactly once within its time. To run more
 * seeds: {@code -Dreply.seeds=10000}.
 */
class ReplyFaultsTests {

	private static final List<Integer> STATUSES = List.of(200, 201, 204, 206, 301, 304, 400, 404, 408, 421, 429, 500,
			502, 503, 504);

	private static final List<String> BODIES = List.of("", "text", "id: 9\ndata: x\n\n", "id: 9\nda");

	private static final List<String> ENDS = List.of("complete", "closed", "broken", "none");

	private static final Duration TIME_LIMIT = Duration.ofSeconds(10);

	static Stream<Answer> answers() {
		List<Answer> answers = new ArrayList<>();
		for (int status : STATUSES) {
			for (int flags = 0; flags < 8; flags++) {
				for (String body : BODIES) {
					for (String end : ENDS) {
						answers
							.add(new Answer(status, (flags & 1) != 0, (flags & 2) != 0, (flags & 4) != 0, body, end));
					}
				}
			}
		}
		return answers.stream();
	}

	/**
	 * Guards against a stream that gets a second head, or no end, when the endpoint that
	 * is to continue it says something else.
	 */
	@Test
	void startedStreamHasOneEndWhateverTheNextEndpointSays() {
		answers().forEach((answer) -> {
			RelayFixture fixture = new RelayFixture();
			RecordingCaller caller = fixture.call("/stream/1", TIME_LIMIT);
			fixture.last().sendEvents(1, 3);
			fixture.last().listener.failed(true, "reset");
			answer.give(fixture.last());
			check(fixture, caller, "after a stream, " + answer);
			Truth.assertWithMessage(answer.toString()).that(caller.received.toString()).startsWith("begin s200 1 2 3");
		});
	}

	@ParameterizedTest
	@ValueSource(strings = { "/stream/1", "/any-pause/1", "/book/1", "/log/1" })
	void responseHasOneEndWhateverTheEndpointSays(String path) {
		answers().forEach((answer) -> {
			RelayFixture fixture = new RelayFixture();
			RecordingCaller caller = fixture.call(path, TIME_LIMIT);
			answer.give(fixture.last());
			check(fixture, caller, path + ", " + answer);
		});
	}

	static LongStream seeds() {
		return LongStream.rangeClosed(1, Integer.getInteger("reply.seeds", 500));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void responseHasOneEndUnderDrawnFaults(long seed) {
		Random random = new Random(seed);
		RelayFixture fixture = new RelayFixture();
		List<Answer> all = answers().toList();
		String path = List.of("/stream/1", "/any-pause/1", "/book/1", "/log/1").get(random.nextInt(4));
		RecordingCaller caller = fixture.call(path, TIME_LIMIT);
		for (int step = 0; step < 12; step++) {
			SentRequest last = fixture.last();
			switch (random.nextInt(8)) {
				case 0, 1 -> last.sendEvents(1 + random.nextInt(3), 3 + random.nextInt(5));
				case 2, 3 -> all.get(random.nextInt(all.size())).give(last);
				case 4 -> last.listener.failed(random.nextBoolean(), "reset");
				case 5 -> fixture.scheduler.advance(Duration.ofMillis(random.nextInt(2_000)));
				case 6 -> caller.request.daemonStops(Duration.ofMillis(random.nextInt(8_000)));
				default -> {
					if (random.nextInt(6) == 0) {
						caller.request.daemonExits();
					}
				}
			}
		}
		check(fixture, caller, "seed " + seed + ", " + path);
	}

	/** Guards against a response that nobody ends because its caller doesn't read it. */
	@ParameterizedTest
	@CsvSource({ "/log/1, false, 200 ok abort", "/log/1, true, 200 ok", "/stream/1, false, begin s200 1 2 end abort",
			"/stream/1, true, begin s200 1 2 end" })
	void timeLimitHoldsUntilTheEndIsOnTheWire(String path, boolean written, String got) {
		RelayFixture fixture = new RelayFixture();
		RecordingCaller caller = fixture.call(path, TIME_LIMIT);
		if (path.startsWith("/stream/")) {
			fixture.last().sendEvents(1, 2);
			fixture.last().listener.complete();
		}
		else {
			fixture.last().respond(200, false, "ok");
		}
		if (written) {
			caller.flush();
		}
		fixture.scheduler.advance(TIME_LIMIT);
		Truth.assertThat(caller.received.toString()).isEqualTo(got);
	}

	/** Guards against work for a caller whose response can't be written any more. */
	@Test
	void responseThatCannotBeWrittenEndsTheRequest() {
		RelayFixture fixture = new RelayFixture();
		RecordingCaller caller = fixture.call("/stream/1", TIME_LIMIT);
		fixture.last().sendEvents(1, 2);
		caller.abort();
		Truth.assertThat(fixture.last().cancelled).isTrue();
		Truth.assertThat(fixture.endedRequests()).isEqualTo(1);
	}

	private static void flush(RecordingCaller caller) {
		if (caller.handedOver()) {
			caller.flush();
		}
	}

	private static void check(RelayFixture fixture, RecordingCaller caller, String what) {
		fixture.scheduler.advance(TIME_LIMIT.minusMillis(1));
		flush(caller);
		fixture.scheduler.advance(Duration.ofMillis(1));
		flush(caller);
		String received = caller.received.toString();
		Truth.assertWithMessage(what).that(received).doesNotContain("ILLEGAL");
		Truth.assertWithMessage(what).that(received).doesNotContain("TOO_LATE");
		Truth.assertWithMessage(what + ": " + received).that(caller.ended()).isTrue();
		Truth.assertWithMessage(what).that(fixture.endedRequests()).isEqualTo(1);
	}

	/**
	 * What an endpoint says.
	 *
	 * @param status the status
	 * @param notRun whether it says that it didn't run the request
	 * @param genuine whether the response is signed
	 * @param events whether it is a stream of events
	 * @param body the body
	 * @param end how the response ends
	 */
	private record Answer(int status, boolean notRun, boolean genuine, boolean events, String body, String end) {

		void give(SentRequest to) {
			to.listener.head(RelayFixture.head(this.status, this.notRun, this.genuine, this.events));
			if (!this.body.isEmpty()) {
				to.listener.data(this.body.getBytes(StandardCharsets.UTF_8));
			}
			switch (this.end) {
				case "complete" -> to.listener.complete();
				case "closed" -> to.listener.closed();
				case "broken" -> to.listener.failed(true, "reset");
				default -> {
					// Nothing more comes.
				}
			}
		}

	}

}
