package org.bramleyscale.internal.admission;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.address.AddressAnswer;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.InMemoryPeerHub;
import org.bramleyscale.internal.peer.InMemoryPeerNetwork;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class LimitShareExchangeTests {

	private static final ClientAccountId DESK = new ClientAccountId("desk");

	private static final long LIMIT = 9_000;

	private static final int REQUEST_TOKENS = 100;

	private final ManualScheduler scheduler = new ManualScheduler();

	private final List<Daemon> daemons = new ArrayList<>();

	private InMemoryPeerHub hub;

	@BeforeEach
	void startDaemons() {
		MessageCatalog.Builder catalog = MessageCatalog.builder();
		AdmissionMessages.register(catalog);
		this.hub = new InMemoryPeerHub(this.scheduler, new MessageCodec(catalog.build()), Duration.ofMillis(1));
		for (int i = 0; i < 3; i++) {
			this.daemons.add(new Daemon(i));
		}
	}

	@Test
	void sharesFollowDemand() {
		load(Duration.ofSeconds(20), 15_000, 100, 100);
		long[] taken = load(Duration.ofSeconds(20), 15_000, 100, 100);
		double first = taken[0] / 20.0;
		Truth.assertThat(first).isWithin(0.1 * LIMIT).of(LIMIT - 200);
		Truth.assertThat(sum(taken) / 20.0).isAtMost(LIMIT * 1.05);
	}

	/**
	 * An account gets twice its limit during a network partition if shares don't expire:
	 * the daemon with all of the demand is disconnected from the home daemon and keeps
	 * its share, while the home daemon assigns the limit to the others.
	 */
	@Test
	void boundsTheExcessWhileADaemonIsPartitioned() {
		load(Duration.ofSeconds(20), 100, 100, 15_000);
		this.hub.disconnect(vm(0), vm(2));
		load(Duration.ofSeconds(10), 15_000, 15_000, 15_000);
		long[] taken = load(Duration.ofSeconds(20), 15_000, 15_000, 15_000);
		Truth.assertThat(taken[2] / 20.0).isAtMost(LIMIT / 3 * 1.05);
		Truth.assertThat(sum(taken) / 20.0).isAtMost(LIMIT * 4 / 3 * 1.05);
	}

	@Test
	void staysWithinTheLimitAfterACrashOfTheHomeDaemon() {
		load(Duration.ofSeconds(10), 15_000, 15_000, 15_000);
		this.hub.kill(vm(0));
		load(Duration.ofSeconds(10), 0, 15_000, 15_000);
		long[] taken = load(Duration.ofSeconds(20), 0, 15_000, 15_000);
		Truth.assertThat(sum(taken) / 20.0).isAtMost(LIMIT * 1.05);
		Truth.assertThat(taken[1] / 20.0).isAtLeast(LIMIT / 3 * 0.9);
	}

	private long[] load(Duration span, int... tokensPerSecond) {
		long[] taken = new long[tokensPerSecond.length];
		for (int step = 0; step < span.toSeconds() * 10; step++) {
			for (int i = 0; i < tokensPerSecond.length; i++) {
				taken[i] += this.daemons.get(i).submit(tokensPerSecond[i] / 10);
			}
			this.scheduler.advance(Duration.ofMillis(100));
		}
		return taken;
	}

	private static long sum(long[] values) {
		long sum = 0;
		for (long value : values) {
			sum += value;
		}
		return sum;
	}

	private static VmId vm(int number) {
		return new VmId("entry-" + number);
	}

	private static AddressAnswer addresses() {
		List<AddressAnswer.Entry> named = new ArrayList<>();
		for (int i = 0; i < 3; i++) {
			named.add(
					new AddressAnswer.Entry("127.0.0.1:" + (9000 + i), new Incarnation(vm(i), 1).toString(), "rawang"));
		}
		return new AddressAnswer(named, Duration.ofSeconds(30));
	}

	/**
	 * One daemon with its admission and its exchange of limit shares.
	 */
	private final class Daemon {

		private final Incarnation self;

		private final FairAdmission admission;

		private long issued;

		private Daemon(int number) {
			this.self = new Incarnation(vm(number), 1);
			AccountConfiguration accounts = AccountConfiguration
				.of(AccountConfiguration.limited(DESK.value(), 1, LIMIT, 3_000, 3));
			this.admission = FairAdmission
				.builder(LimitShareExchangeTests.this.scheduler, accounts, new MetricRegistry())
				.build();
			InMemoryPeerNetwork network = LimitShareExchangeTests.this.hub.join(this.self);
			new LimitShareExchange(LimitShareExchangeTests.this.scheduler, new SingleDaemonView(this.self),
					(account) -> addresses(), accounts, network, this.admission);
		}

		private long submit(int tokens) {
			long taken = 0;
			for (int submitted = 0; submitted + REQUEST_TOKENS <= tokens; submitted += REQUEST_TOKENS) {
				RequestId id = new RequestId(this.self, Long.toString(this.issued++));
				try {
					this.admission.admit(new AdmissionRequest(id, DESK, new ServiceName("hire"), REQUEST_TOKENS, 0,
							false, Duration.ofHours(1), Duration.ZERO, Duration.ZERO));
					this.admission.next((any) -> true);
					this.admission.settle(id, REQUEST_TOKENS);
					taken += REQUEST_TOKENS;
				}
				catch (ServingException ex) {
					return taken;
				}
			}
			return taken;
		}

	}

	/**
	 * A membership view that contains only the daemon itself.
	 */
	private record SingleDaemonView(Incarnation self) implements MembershipView {

		@Override
		public DataCentre dataCentre() {
			return new DataCentre("rawang");
		}

		@Override
		public List<Member> members() {
			return List.of();
		}

		@Override
		public Optional<Member> member(VmId vm) {
			return Optional.empty();
		}

		@Override
		public List<Member> eligible() {
			return List.of();
		}

		@Override
		public void onChange(Runnable listener) {
		}

	}

}
