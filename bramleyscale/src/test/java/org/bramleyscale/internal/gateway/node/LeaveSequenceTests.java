package org.bramleyscale.internal.gateway.node;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.VmCapacity;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests of {@link LeaveSequence} with addresses kept for one second and a grace period of
 * eight.
 */
class LeaveSequenceTests implements LeaveSequence.Actions {

	private final ManualScheduler scheduler = new ManualScheduler();

	private int openRequests;

	/** The number of requests whose responses can't be written at the end. */
	private int unwritten;

	private final List<Long> untilExit = new ArrayList<>();

	private int timeIsUp;

	private int announced;

	private int ended;

	private final LeaveSequence leave = new LeaveSequence(this.scheduler,
			new GatewaySettings(new VmId("a"), new DataCentre("east"), new InetSocketAddress("127.0.0.1", 1),
					new InetSocketAddress("127.0.0.1", 2), List.of(), Duration.ofSeconds(1), Duration.ofSeconds(8),
					Duration.ofSeconds(2), Duration.ofSeconds(10), 0.2, 100, VmCapacity.UNKNOWN, GatewayFeatures.NONE),
			this, DecisionLog.NONE);

	@ParameterizedTest
	@CsvSource({ "0, 3000, 0", "0, 3300, 1", "1, 7200, 0", "1, 7500, 1" })
	void endsOnceIdleAndBeforeItWouldBeKilled(int openRequests, long millis, int ended) {
		this.openRequests = openRequests;
		this.leave.begin();
		this.scheduler.advance(Duration.ofMillis(millis));
		Truth.assertThat(this.ended).isEqualTo(ended);
	}

	@ParameterizedTest
	@CsvSource({ "2900, 10000, true", "3100, 10000, false", "3100, 4100, true", "6000, 1000, true",
			"6000, 1400, false" })
	void acceptsLateOnlyRequestsThatEndBeforeTheProcess(long millis, long timeLeft, boolean accepted) {
		// Symptom: an answer is cut off in the middle. Sequence: a caller with an open
		// connection sends a streaming request six seconds after the stop began; the
		// process exits 1.4 s later. Cause: requests were accepted until the last moment.
		Truth.assertThat(this.leave.accepts(Duration.ofMillis(timeLeft))).isTrue();
		this.openRequests = 1;
		this.leave.begin();
		this.scheduler.advance(Duration.ofMillis(millis));
		Truth.assertThat(this.leave.accepts(Duration.ofMillis(timeLeft))).isEqualTo(accepted);
	}

	/** Guards against a process that ends before the responses to its last requests. */
	@ParameterizedTest
	@CsvSource({ "0, 7400, 1", "1, 7400, 0", "1, 7600, 0", "1, 7700, 1" })
	void openRequestsAreEndedBeforeTheProcess(int unwritten, long millis, int ended) {
		this.openRequests = 1;
		this.unwritten = unwritten;
		this.leave.begin();
		this.scheduler.advance(Duration.ofMillis(millis));
		Truth.assertThat(this.timeIsUp).isEqualTo(1);
		Truth.assertThat(this.ended).isEqualTo(ended);
	}

	@Test
	void openRequestsLearnTheTimeUntilTheExit() {
		this.openRequests = 1;
		this.leave.begin();
		this.scheduler.advance(Duration.ofMillis(200));
		Truth.assertThat(this.untilExit).containsExactly(7_200L, 7_100L).inOrder();
	}

	@Test
	void announcesOnceAndEndsOnce() {
		this.leave.begin();
		this.leave.begin();
		this.scheduler.advance(Duration.ofSeconds(30));
		Truth.assertThat(this.announced).isEqualTo(1);
		Truth.assertThat(this.ended).isEqualTo(1);
	}

	@Override
	public void announce() {
		this.announced++;
	}

	@Override
	public int openRequestCount() {
		return this.openRequests;
	}

	@Override
	public int connections() {
		return 0;
	}

	@Override
	public void daemonStops(Duration untilExit) {
		this.untilExit.add(untilExit.toMillis());
	}

	@Override
	public void daemonExits() {
		this.timeIsUp++;
		this.openRequests = this.unwritten;
	}

	@Override
	public void end() {
		this.ended++;
	}

}
