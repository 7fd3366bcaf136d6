package org.bramleyscale.standins.response;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Stream;

import com.google.common.truth.Truth;
import org.bramleyscale.standins.response.CutServer.End;
import org.bramleyscale.standins.response.RepeatingServer.Moment;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * A call completes with its own, whole response or fails, whatever the server sends on
 * the connection besides. Copies cut at each byte: {@code -Dcopy.step=1}.
 */
class OwnResponseTests {

	/** Some calls only fail at their time limit. */
	private static final int CALLERS = 100;

	/** The copy is cut at each such byte, and whole. */
	private static final int STEP = Integer.getInteger("copy.step", 7);

	private final Clients clients = new Clients();

	@AfterEach
	void close() {
		this.clients.close();
	}

	static Stream<Arguments> repetitions() {
		return Exchange.all()
			.stream()
			.flatMap((exchange) -> Stream.of(Moment.values()).map((moment) -> Arguments.of(exchange, moment)));
	}

	static Stream<Arguments> ends() {
		return Exchange.all()
			.stream()
			.flatMap((exchange) -> Stream.of(End.values()).map((end) -> Arguments.of(exchange, end)));
	}

	/** Guards against a response put together from the bytes of two. */
	@ParameterizedTest(name = "{0}, {1}")
	@MethodSource("repetitions")
	void aSecondCopyIsNotTakenForTheNextResponse(Exchange exchange, Moment moment) throws Exception {
		List<String> wrong = new ArrayList<>();
		int whole = exchange.first().length();
		for (int cut = 1; cut < whole + STEP; cut += STEP) {
			int length = Math.min(cut, whole);
			String copy = exchange.first().substring(0, length);
			String told = next(exchange, copy, moment);
			if (!exchange.permits(told)) {
				wrong.add(length + " bytes of the copy: " + told);
			}
		}
		Truth.assertThat(wrong).isEmpty();
	}

	/** Guards against a part of a response that is taken for a whole one. */
	@ParameterizedTest(name = "{0}, {1}")
	@MethodSource("ends")
	void aResponseThatStopsIsAFailure(Exchange exchange, End end) throws Exception {
		ExecutorService callers = Executors.newFixedThreadPool(CALLERS);
		try (CutServer server = new CutServer(exchange.next(), end)) {
			List<Callable<String>> calls = Collections.nCopies(exchange.next().length(),
					() -> exchange.send(this.clients, server.port(), 2));
			List<String> wrong = new ArrayList<>();
			for (Future<String> call : callers.invokeAll(calls)) {
				if (!exchange.permits(call.get())) {
					wrong.add(call.get());
				}
			}
			Truth.assertThat(wrong).isEmpty();
		}
		finally {
			callers.shutdown();
		}
	}

	static Stream<Arguments> oddStatuses() {
		return Exchange.all()
			.stream()
			.filter((exchange) -> !exchange.name().contains("stream"))
			.flatMap((exchange) -> Stream.of("000", "099", "600", "999")
				.map((status) -> Arguments.of(exchange, status)));
	}

	/** Guards against a status that is none and passes for an answer. */
	@ParameterizedTest(name = "{0}, {1}")
	@MethodSource("oddStatuses")
	void aWholeReplyWithAStatusThatIsNoneIsAFailure(Exchange exchange, String status) throws Exception {
		String odd = exchange.next().replaceFirst("HTTP/1.1 ...", "HTTP/1.1 " + status);
		try (RepeatingServer server = new RepeatingServer(odd, "", Moment.WITH_THE_FIRST, odd)) {
			Truth.assertThat(exchange.send(this.clients, server.port(), 2)).isEqualTo(Clients.FAILED);
		}
	}

	private String next(Exchange exchange, String copy, Moment moment) throws Exception {
		try (RepeatingServer server = new RepeatingServer(exchange.first(), copy, moment, exchange.next())) {
			Truth.assertThat(exchange.send(this.clients, server.port(), 1)).isEqualTo(exchange.firstTold());
			server.awaitFurtherBytes();
			return exchange.send(this.clients, server.port(), 2);
		}
	}

}
