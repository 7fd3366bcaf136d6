package org.bramleyscale.internal.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

import com.google.common.truth.Truth;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.peer.InMemoryPeerHub;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.status.DaemonReport;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

class DaemonReportsTests {

	private static final Duration LATENCY = Duration.ofMillis(5);

	private final ManualScheduler scheduler = new ManualScheduler();

	private final InMemoryPeerHub hub = new InMemoryPeerHub(this.scheduler, new MessageCodec(NodeMessages.catalog()),
			LATENCY);

	private final Map<String, DaemonReports> daemons = new LinkedHashMap<>();

	private final List<Member> members = new ArrayList<>();

	private int told;

	@Test
	void allTellInOneRoundTrip() {
		start(3);
		CompletableFuture<Map<VmId, DaemonReport>> reports = this.daemons.get("entry-0").collect();
		Truth.assertThat(reports.isDone()).isFalse();
		this.scheduler.advance(LATENCY.multipliedBy(2));
		Truth.assertThat(reports.join())
			.containsExactly(new VmId("entry-1"), report(1), new VmId("entry-2"), report(2));
	}

	/**
	 * Symptom: the status page doesn't come while a daemon is frozen, which is when it is
	 * needed. Sequence: one of three daemons takes questions and doesn't answer, another
	 * is dead. Cause: waiting for all.
	 */
	@Test
	void whoIsSilentHoldsNobodyUp() {
		start(3);
		this.members.add(FixedMembers.member("entry-3", Member.State.DEAD));
		this.hub.pause(new VmId("entry-2"));
		CompletableFuture<Map<VmId, DaemonReport>> reports = this.daemons.get("entry-0").collect();
		this.scheduler.advance(DaemonReports.TIME_LIMIT);
		Truth.assertThat(reports.join()).containsExactly(new VmId("entry-1"), report(1));
	}

	@Test
	void whoIsOutOfReachIsNotWaitedFor() {
		start(2);
		this.hub.kill(new VmId("entry-1"));
		Truth.assertThat(this.daemons.get("entry-0").collect().join()).isEmpty();
	}

	@Test
	void manyViewersCostNoMoreThanOne() {
		start(2);
		for (int i = 0; i < 100; i++) {
			this.daemons.get("entry-0").collect();
			this.scheduler.advance(DaemonReports.KEEP.dividedBy(10));
		}
		Truth.assertThat(this.told).isEqualTo(10);
	}

	@Test
	void inALargeFleetOnlyTheFirstAreAsked() {
		start(DaemonReports.MOST_ASKED + 20);
		CompletableFuture<Map<VmId, DaemonReport>> reports = this.daemons.get("entry-0").collect();
		this.scheduler.advance(LATENCY.multipliedBy(2));
		Truth.assertThat(reports.join()).hasSize(DaemonReports.MOST_ASKED);
	}

	private void start(int count) {
		for (int i = 0; i < count; i++) {
			int number = i;
			String vm = "entry-" + i;
			this.members.add(FixedMembers.member(vm, Member.State.ALIVE));
			this.daemons.put(vm,
					new DaemonReports(this.scheduler, new FixedMembers(FixedMembers.incarnation(vm), this.members),
							this.hub.join(FixedMembers.incarnation(vm)), () -> tell(number)));
		}
	}

	private DaemonReport tell(int number) {
		this.told++;
		return report(number);
	}

	private static DaemonReport report(int number) {
		return new DaemonReport(true, 41, number, number * 10L);
	}

}
