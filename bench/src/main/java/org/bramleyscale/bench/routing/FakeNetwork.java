package org.bramleyscale.bench.routing;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.membership.Member;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerListener;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * The other entries as one entry sees them: all alive, a millisecond away.
 */
final class FakeNetwork implements PeerNetwork, MembershipView {

	private static final Duration LATENCY = Duration.ofMillis(1);

	private static final DataCentre DATA_CENTRE = new DataCentre("rawang");

	private final Scheduler scheduler;

	private final Map<VmId, FakeNetwork> all;

	private final Incarnation self;

	private final Map<Class<?>, List<PeerListener<PeerMessage>>> listeners = new HashMap<>();

	FakeNetwork(Scheduler scheduler, Incarnation self, Map<VmId, FakeNetwork> all) {
		this.scheduler = scheduler;
		this.self = self;
		this.all = all;
		all.put(self.vm(), this);
	}

	@Override
	public boolean send(VmId to, PeerMessage message) {
		FakeNetwork receiver = this.all.get(to);
		this.scheduler.schedule(LATENCY, () -> receiver.received(this.self, message));
		return true;
	}

	@Override
	public Set<VmId> connected() {
		return this.all.keySet();
	}

	@Override
	public <M extends PeerMessage> void listen(Class<M> type, PeerListener<M> listener) {
		this.listeners.computeIfAbsent(type, (key) -> new ArrayList<>())
			.add((from, message) -> listener.received(from, type.cast(message)));
	}

	@Override
	public Incarnation self() {
		return this.self;
	}

	@Override
	public DataCentre dataCentre() {
		return DATA_CENTRE;
	}

	@Override
	public Collection<Member> members() {
		return eligible();
	}

	@Override
	public Optional<Member> member(VmId vm) {
		return eligible().stream().filter((member) -> member.vm().equals(vm)).findFirst();
	}

	@Override
	public List<Member> eligible() {
		return this.all.values()
			.stream()
			.map((entry) -> new Member(entry.self, DATA_CENTRE, "", "", Member.State.ALIVE))
			.collect(Collectors.toList());
	}

	@Override
	public void onChange(Runnable listener) {
		// Nobody comes or goes during a run.
	}

	private void received(Incarnation from, PeerMessage message) {
		this.listeners.getOrDefault(message.getClass(), List.of())
			.forEach((listener) -> listener.received(from, message));
	}

}
