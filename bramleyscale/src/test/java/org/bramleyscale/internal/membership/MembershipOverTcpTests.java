package org.bramleyscale.internal.membership;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Predicate;
import java.util.function.Supplier;

import com.codahale.metrics.MetricRegistry;
import com.google.common.truth.Truth;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ServingException;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerDirectory;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.PeerMessages;
import org.bramleyscale.internal.peer.TcpPeerNetwork;
import org.bramleyscale.internal.peer.TcpPeerSettings;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.time.EventLoop;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/**
 * Tests membership over real connections. Each wait ends with a change of a view; the
 * timeout only ends a test that would otherwise hang.
 */
@Timeout(60)
class MembershipOverTcpTests {

	private static final MembershipTimes TIMES = new MembershipTimes(Duration.ofMillis(200), Duration.ofMillis(800),
			Duration.ofMillis(200), Duration.ofMillis(300), Duration.ofMillis(800), Duration.ofSeconds(3),
			Duration.ofMillis(500), Duration.ofSeconds(10), Duration.ofMillis(200), Duration.ofMillis(300),
			Duration.ofSeconds(3), Duration.ofHours(1));

	private static final MessageCodec CODEC = new MessageCodec(
			MembershipMessages.register(PeerMessages.register(MessageCatalog.builder())).build());

	private final List<VmRecord> list = new CopyOnWriteArrayList<>();

	private final List<Daemon> daemons = new ArrayList<>();

	@AfterEach
	void close() {
		this.daemons.forEach(Daemon::close);
	}

	@Test
	void daemonsJoinLeaveAndFail() throws Exception {
		for (String vm : List.of("rawang-0", "rawang-1", "rawang-2", "semenyih-0", "semenyih-1")) {
			this.daemons.add(new Daemon(vm));
		}
		this.daemons.forEach(Daemon::start);
		for (Daemon daemon : this.daemons) {
			daemon.await((view) -> view.eligible().size() == 5);
		}
		this.daemons.get(1).loop.execute(this.daemons.get(1).membership::leave);
		for (Daemon daemon : this.daemons) {
			daemon.await((view) -> state(view, "rawang-1").equals(Optional.of(Member.State.LEAVING)));
		}
		this.daemons.remove(2).close();
		for (Daemon daemon : this.daemons) {
			daemon.await((view) -> state(view, "rawang-2").equals(Optional.of(Member.State.DEAD)));
		}
		Truth.assertThat(this.daemons.get(0).call(() -> this.daemons.get(0).membership.eligible().size())).isEqualTo(3);
	}

	private static Optional<Member.State> state(MembershipView view, String vm) {
		return view.member(new VmId(vm)).map(Member::state);
	}

	private final class Daemon implements PeerDirectory {

		private final EventLoop loop;

		private final TcpPeerNetwork network;

		private final MembershipService membership;

		private Daemon(String vm) throws ServingException {
			this.loop = new EventLoop(vm);
			Incarnation incarnation = new Incarnation(new VmId(vm), 1);
			DataCentre dataCentre = new DataCentre(vm.substring(0, vm.indexOf('-')));
			MetricRegistry metrics = new MetricRegistry();
			TcpPeerSettings settings = TcpPeerSettings.builder()
				.identity(new PeerIdentity(incarnation, dataCentre, "unused", "unused"))
				.listen(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
				.key(new byte[32])
				.build();
			this.network = new TcpPeerNetwork(settings, this.loop, CODEC, new Random(1), metrics);
			String address = "127.0.0.1:" + this.network.start(this);
			MembershipOverTcpTests.this.list.add(new VmRecord(incarnation.vm(), dataCentre, address, "unused", false));
			PeerIdentity identity = new PeerIdentity(incarnation, dataCentre, address, "unused");
			this.membership = MembershipService.builder()
				.settings(new MembershipSettings(identity, List.of(), MembershipSettings.DEFAULT_MESH_LIMIT, TIMES))
				.scheduler(this.loop)
				.network(this.network)
				.store(new ListOnlyStore(this::read))
				.random(new Random(1))
				.metrics(metrics)
				.build();
		}

		private void start() {
			this.loop.execute(this.membership::start);
		}

		private CompletableFuture<List<VmRecord>> read() {
			return CompletableFuture.completedFuture(MembershipOverTcpTests.this.list);
		}

		private void await(Predicate<MembershipView> condition) throws Exception {
			CompletableFuture<Void> satisfied = new CompletableFuture<>();
			Runnable check = () -> {
				if (condition.test(this.membership)) {
					satisfied.complete(null);
				}
			};
			this.loop.execute(() -> this.membership.onChange(check));
			this.loop.execute(check);
			satisfied.get();
		}

		private <T> T call(Supplier<T> task) throws Exception {
			return CompletableFuture.supplyAsync(task, this.loop::execute).get();
		}

		private void close() {
			this.network.close();
			this.loop.close();
		}

		@Override
		public Set<VmId> desiredPeers() {
			return (this.membership != null) ? this.membership.directory().desiredPeers() : Set.of();
		}

		@Override
		public Optional<String> address(VmId vm) {
			return (this.membership != null) ? this.membership.directory().address(vm) : Optional.empty();
		}

	}

}
