package org.bramleyscale.internal.gateway.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.stream.LongStream;

import com.google.common.truth.Truth;
import org.bramleyscale.internal.gateway.node.CallerConnection.SentRequest;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Stops a daemon at drawn moments under drawn loads: requests of several ranks that wait
 * for slots, heads and bodies that arrive slowly, pipelined requests, callers that don't
 * read, and endpoints that refuse, fail, break off or stay silent.
 *
 * <p>
 * Each request that was read whole has a complete response before the daemon exits, or
 * its stream, which had begun, is aborted; what is called not run never runs; a caller
 * that the stop sends elsewhere has time left. To run more seeds:
 * {@code -Dstop.seeds=1000}.
 */
class StopFaultsTests {

	private static final Duration STEP = Duration.ofMillis(20);

	private static final Duration LENGTH = Duration.ofSeconds(40);

	private static final Duration LATEST_STOP = Duration.ofSeconds(12);

	/** Callers that kept an answer three times as long have asked again. */
	private static final Duration ADDRESS_RETENTION = StoppingGateway.ADDRESS_KEEP.multipliedBy(3);

	/** The least share of its time that a caller has when the stop sends it elsewhere. */
	private static final double LEAST_SHARE_LEFT = 0.45;

	private static final Duration CHECK_DELAY = Duration.ofMillis(250);

	private static final Duration KILL_MARGIN = Duration.ofMillis(200);

	private static final int NOT_RUN = 503;

	private static final String END_OF_HEAD = "\r\n\r\n";

	private static final List<String> ROUTES = List.of("urgent", "patient", "stream", "book", "log");

	private final ManualScheduler scheduler = new ManualScheduler();

	private final List<CallerConnection> connections = new ArrayList<>();

	private final Map<String, List<SimulatedRun>> runs = new HashMap<>();

	private Random random;

	private StoppingGateway gateway;

	private long stoppedAt = Long.MAX_VALUE;

	private long exitedAt = Long.MAX_VALUE;

	private int ids;

	private long seed;

	static LongStream seeds() {
		long only = Long.getLong("stop.seed", 0);
		return (only > 0) ? LongStream.of(only) : LongStream.rangeClosed(1, Integer.getInteger("stop.seeds", 60));
	}

	@ParameterizedTest
	@MethodSource("seeds")
	void everyRequestReadWholeHasItsEndBeforeTheDaemonExits(long newSeed) {
		this.seed = newSeed;
		this.random = new Random(newSeed);
		Duration longestRun = Duration.ofMillis(200 + this.random.nextInt(9_000));
		this.gateway = new StoppingGateway(this.scheduler, 1 + this.random.nextInt(4), this.random,
				() -> SimulatedRun.draw(this.random, longestRun));
		this.gateway.onReceived = (id, run) -> this.runs.computeIfAbsent(id, (key) -> new ArrayList<>()).add(run);
		int callers = 5 + this.random.nextInt(40);
		for (int i = 0; i < callers; i++) {
			after(this.random.nextInt(8_000), this::connect);
		}
		after(1_000 + this.random.nextInt((int) LATEST_STOP.toMillis()), () -> {
			this.stoppedAt = this.scheduler.nanos();
			this.gateway.stop();
		});
		for (long step = 0; step < LENGTH.toMillis() / STEP.toMillis(); step++) {
			this.scheduler.advance(STEP);
			this.connections.forEach(this::observe);
			if (this.gateway.exited && this.exitedAt == Long.MAX_VALUE) {
				exit();
			}
		}
		Truth.assertWithMessage("seed %s, exit", newSeed)
			.that(this.exitedAt - this.stoppedAt)
			.isLessThan(StoppingGateway.GRACE.minus(KILL_MARGIN).toNanos());
		this.connections.forEach((connection) -> connection.sent.forEach((request) -> check(connection, request)));
	}

	private void after(long millis, Runnable task) {
		this.scheduler.schedule(Duration.ofMillis(millis), task);
	}

	private void connect() {
		boolean known = this.scheduler.nanos() - this.stoppedAt < ADDRESS_RETENTION.toNanos();
		if (!this.gateway.exited && (this.stoppedAt == Long.MAX_VALUE || known)) {
			CallerConnection connection = new CallerConnection(this.gateway.callers);
			this.connections.add(connection);
			request(connection);
		}
	}

	private void request(CallerConnection connection) {
		if (!connection.usable()) {
			connect();
			return;
		}
		boolean pipelined = this.random.nextInt(8) == 0;
		SentRequest request = draw(connection);
		if (this.random.nextInt(8) == 0) {
			after(this.random.nextInt(2_000), connection::stopReading);
			after(2_000 + this.random.nextInt(4_000), connection::resumeReading);
		}
		String body = "x".repeat(this.random.nextInt(4) * 1_000);
		String head = head(request, body.length());
		List<String> pieces = pieces(head, body);
		long at = 0;
		for (int i = 0; i < pieces.size(); i++) {
			String piece = pieces.get(i);
			boolean last = i == pieces.size() - 1;
			after(at, () -> {
				connection.send(piece);
				if (connection.open() && piece.contains(END_OF_HEAD)) {
					request.readAt = this.scheduler.nanos();
				}
				if (connection.open() && last) {
					request.wholeAt = this.scheduler.nanos();
				}
			});
			at += this.random.nextInt(500);
		}
		if (pipelined && pieces.size() == 1) {
			SentRequest second = draw(connection);
			second.pipelined = true;
			after(0, () -> {
				connection.send(head(second, 0));
				if (connection.open()) {
					second.readAt = this.scheduler.nanos();
					second.wholeAt = second.readAt;
				}
			});
		}
	}

	private List<String> pieces(String head, String body) {
		return switch (body.isEmpty() ? 0 : this.random.nextInt(3)) {
			case 0 -> List.of(head + body);
			case 1 -> List.of(head.substring(0, 20), head.substring(20) + body);
			default -> List.of(head, body.substring(body.length() / 2), body.substring(0, body.length() / 2));
		};
	}

	private SentRequest draw(CallerConnection connection) {
		long now = this.scheduler.nanos();
		String path = "/" + ROUTES.get(this.random.nextInt(ROUTES.size())) + "/1";
		SentRequest request = new SentRequest("r" + (++this.ids), path, now,
				now + Duration.ofMillis(1_000 + this.random.nextInt(14_000)).toNanos());
		connection.sent.add(request);
		return request;
	}

	private String head(SentRequest request, int length) {
		int prompt = (this.random.nextInt(3) > 0) ? 1_000 : 120_000 + this.random.nextInt(60_000);
		return "POST " + request.path + " HTTP/1.1\r\nHost: hire.example\r\nId: " + request.id + "\r\nTime-Left: "
				+ Duration.ofNanos(request.deadline - this.scheduler.nanos()).toMillis() + "\r\nPrompt: " + prompt
				+ "\r\nOutput: 500\r\nContent-Length: " + length + END_OF_HEAD;
	}

	private void observe(CallerConnection connection) {
		long now = this.scheduler.nanos();
		boolean wasOpen = connection.sent.stream().anyMatch(SentRequest::open);
		connection.read(now);
		for (SentRequest request : connection.sent) {
			if (request.open() && !connection.open()) {
				request.closedAt = now;
				request.stalled = connection.stalled();
			}
		}
		if (connection.sent.stream().anyMatch((request) -> request.open() && now >= request.deadline)) {
			connection.sent.stream().filter(SentRequest::open).forEach((request) -> request.leftAt = now);
			connection.close();
		}
		boolean isOpen = connection.sent.stream().anyMatch(SentRequest::open);
		if (wasOpen && !isOpen) {
			after(this.random.nextInt((this.random.nextInt(4) == 0) ? 5_000 : 300), () -> request(connection));
		}
	}

	private void exit() {
		this.exitedAt = this.scheduler.nanos();
		this.connections.forEach((connection) -> {
			connection.read(this.exitedAt);
			connection.sent.stream().filter(SentRequest::open).forEach((request) -> {
				request.closedAt = this.exitedAt;
				request.stalled = connection.stalled();
			});
			connection.close();
		});
	}

	private void check(CallerConnection connection, SentRequest request) {
		String what = "seed " + this.seed + ", stop " + this.stoppedAt / 1_000_000 + ", " + request + ", runs "
				+ this.runs.getOrDefault(request.id, List.of());
		List<SimulatedRun> made = this.runs.getOrDefault(request.id, List.of());
		long possibleRuns = made.stream().filter(SimulatedRun::mayRun).count();
		if (request.path.startsWith("/book/")) {
			Truth.assertWithMessage(what).that(possibleRuns).isAtMost(1);
		}
		if (request.status == NOT_RUN) {
			Truth.assertWithMessage(what).that(possibleRuns).isEqualTo(0);
			if (!connection.hasStalled()) {
				checkTimeLeft(request, what);
			}
		}
		if (request.completedAt != SentRequest.NEVER || request.leftAt != SentRequest.NEVER
				|| request.readAt == SentRequest.NEVER || request.stalled || connection.endedAhead(request)) {
			return;
		}
		boolean brokenOff = made.stream().anyMatch((run) -> run.outcome() != SimulatedRun.Outcome.WHOLE);
		boolean sentEarly = request.headAt - this.stoppedAt <= ADDRESS_RETENTION.toNanos();
		boolean timeIsOver = request.closedAt >= request.deadline - STEP.toNanos();
		boolean excused = request.status != 0
				&& (brokenOff || timeIsOver || sentEarly && request.closedAt >= this.stoppedAt);
		Truth.assertWithMessage("no answer: " + what).that(excused).isTrue();
	}

	private void checkTimeLeft(SentRequest request, String what) {
		boolean waitedHere = !request.pipelined && !this.runs.containsKey(request.id);
		if (request.body.contains("daemon") && waitedHere) {
			long since = Math.max(this.stoppedAt, request.wholeAt);
			double share = LEAST_SHARE_LEFT * (request.deadline - since);
			Truth.assertWithMessage("too late: " + what)
				.that((double) request.deadline - request.completedAt)
				.isAtLeast(share - CHECK_DELAY.toNanos());
		}
	}

}
