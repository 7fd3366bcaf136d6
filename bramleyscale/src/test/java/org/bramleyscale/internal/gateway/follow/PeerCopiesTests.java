package org.bramleyscale.internal.gateway.follow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import com.google.common.truth.Truth;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.log.DecisionLog;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.WatchBatch;
import org.bramleyscale.internal.time.ManualScheduler;
import org.junit.jupiter.api.Test;

/**
 * Tests of {@link PeerCopies} between two daemons.
 */
class PeerCopiesTests {

	private final ManualScheduler scheduler = new ManualScheduler();

	private final Connection left = new Connection("left");

	private final Connection right = new Connection("right");

	private final List<String> changes = new ArrayList<>();

	private final ObjectCopies current = new ObjectCopies((object) -> {
	});

	private final ObjectCopies outdated = new ObjectCopies(
			(object) -> this.changes.add((object.deleted() ? "-" : "+") + object.name()));

	PeerCopiesTests() {
		this.left.other = this.right;
		this.right.other = this.left;
		this.current.applyList(batch(10, "a", "b"));
		PeerCopies first = new PeerCopies(this.left.self, this.scheduler, this.left, Map.of("servers", this.current),
				this.left, DecisionLog.NONE);
		PeerCopies second = new PeerCopies(this.right.self, this.scheduler, this.right,
				Map.of("servers", this.outdated), this.right, DecisionLog.NONE);
		first.start();
		second.start();
	}

	@Test
	void daemonThatTheStoreRefusesReceivesChangesFromItsPeers() {
		// Symptom: one daemon still accepts a key that was revoked. Sequence: the store
		// refuses the calls of that daemon, then the operator's document changes. Cause:
		// the daemon would learn of the change from the store only.
		this.outdated.applyList(batch(10, "a", "b"));
		this.changes.clear();
		this.current.applyChanges(new WatchBatch(12, false, List.of(FakeStore.object("c", 11)), List.of("a")));
		this.scheduler.advance(PeerCopies.DIGEST_INTERVAL.multipliedBy(2));
		Truth.assertThat(this.changes).containsExactly("+c", "-a");
		Truth.assertThat(this.outdated.complete()).isEqualTo(12);
	}

	@Test
	void daemonThatStartsWithoutTheStoreReceivesAllCopies() {
		this.scheduler.advance(PeerCopies.DIGEST_INTERVAL.multipliedBy(2));
		Truth.assertThat(this.changes).containsExactly("+a", "+b");
		Truth.assertThat(this.outdated.complete()).isEqualTo(10);
	}

	@Test
	void noCopiesAreSentBetweenDaemonsThatHaveTheSame() {
		this.scheduler.advance(PeerCopies.DIGEST_INTERVAL.multipliedBy(2));
		this.left.sent.clear();
		this.right.sent.clear();
		this.scheduler.advance(Duration.ofSeconds(5));
		Truth.assertThat(this.left.sent.get(CopiesDigest.class)).isAtLeast(12);
		Truth.assertThat(this.left.sent.get(CopiesUpdate.class)).isNull();
		Truth.assertThat(this.right.sent.get(CopiesUpdate.class)).isNull();
	}

	private static WatchBatch batch(long revision, String... names) {
		return new WatchBatch(revision, false,
				List.of(names).stream().map((name) -> FakeStore.object(name, 5)).toList());
	}

	/**
	 * One end of a connection that delivers at once.
	 */
	private final class Connection implements PeerNetwork, UpdateRoutes {

		private final Incarnation self;

		private final Map<Class<?>, PeerListener<?>> listeners = new HashMap<>();

		private final Map<Class<?>, Integer> sent = new HashMap<>();

		private Connection other;

		private Connection(String name) {
			this.self = new Incarnation(new VmId(name), 1);
		}

		@Override
		@SuppressWarnings("unchecked")
		public boolean send(VmId to, PeerMessage message) {
			this.sent.merge(message.getClass(), 1, Integer::sum);
			PeerListener<PeerMessage> listener = (PeerListener<PeerMessage>) this.other.listeners
				.get(message.getClass());
			PeerCopiesTests.this.scheduler.execute(() -> listener.received(this.self, message));
			return true;
		}

		@Override
		public Set<VmId> connected() {
			return Set.of(this.other.self.vm());
		}

		@Override
		public Collection<VmId> originRecipients() {
			return connected();
		}

		@Override
		public Collection<VmId> forwardRecipients(VmId from) {
			return List.of();
		}

		@Override
		public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
			this.listeners.put(type, listener);
		}

	}

}
