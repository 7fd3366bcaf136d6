package org.bramleyscale.internal.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.DataCentre;
import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.InMemoryPeerHub;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.MessageCodec;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.platform.PlatformException;
import org.bramleyscale.internal.platform.VmRecord;
import org.bramleyscale.internal.time.ManualScheduler;
import org.bramleyscale.internal.time.PausableScheduler;

/**
 * Membership services of several daemons that share a manual clock and the platform's
 * list of VMs.
 */
final class Fleet {

	private static final MessageCodec CODEC = new MessageCodec(
			MembershipMessages.register(MessageCatalog.builder()).build());

	final ManualScheduler scheduler = new ManualScheduler();

	final InMemoryPeerHub hub = new InMemoryPeerHub(this.scheduler, CODEC, Duration.ofMillis(1));

	final Map<String, VmRecord> list = new TreeMap<>();

	final Map<String, Daemon> daemons = new LinkedHashMap<>();

	boolean platformUnavailable;

	int polls;

	private long starts;

	/**
	 * Starts daemons named after their data centre, with their VMs in the list.
	 */
	static Fleet of(int perDataCentre, String... dataCentres) {
		Fleet fleet = new Fleet();
		for (String dataCentre : dataCentres) {
			for (int i = 0; i < perDataCentre; i++) {
				fleet.list(dataCentre + "-" + i, false);
			}
		}
		List.copyOf(fleet.list.keySet()).forEach(fleet::start);
		fleet.advance(Duration.ofSeconds(20));
		return fleet;
	}

	void list(String vm, boolean leaving) {
		this.list.put(vm, new VmRecord(new VmId(vm), dataCentre(vm), vm + ":1", vm + ":2", leaving));
	}

	Daemon start(String vm) {
		Daemon daemon = new Daemon(vm, ++this.starts);
		this.daemons.put(vm, daemon);
		daemon.membership.start();
		return daemon;
	}

	Daemon daemon(String vm) {
		return this.daemons.get(vm);
	}

	void kill(String vm) {
		this.daemons.remove(vm).scheduler.crash();
		this.hub.kill(new VmId(vm));
	}

	/**
	 * Pauses a process without ending it.
	 */
	void pause(String vm) {
		daemon(vm).scheduler.pause();
		this.hub.pause(new VmId(vm));
	}

	/**
	 * Resumes a paused process, which runs its timers before it reads its sockets.
	 */
	void resume(String vm) {
		daemon(vm).scheduler.resume();
		this.hub.resume(new VmId(vm));
	}

	/**
	 * Applies an action to each pair of VMs of two groups.
	 */
	void forEachPair(Collection<String> left, Collection<String> right, BiConsumer<VmId, VmId> action) {
		for (String leftVm : left) {
			for (String rightVm : right) {
				action.accept(new VmId(leftVm), new VmId(rightVm));
			}
		}
	}

	void advance(Duration span) {
		this.scheduler.advance(span);
	}

	/**
	 * The states of a VM as seen by all running daemons except its own; null for a daemon
	 * that doesn't know the VM.
	 */
	Set<Member.State> statesOf(String vm) {
		return statesSeenBy(this.daemons.keySet(), vm);
	}

	Set<Member.State> statesSeenBy(Collection<String> observers, String vm) {
		Set<Member.State> states = new HashSet<>();
		for (String observer : observers) {
			if (!observer.equals(vm)) {
				states.add(daemon(observer).membership.member(new VmId(vm)).map(Member::state).orElse(null));
			}
		}
		return states;
	}

	/**
	 * All states of all members as seen by all running daemons.
	 */
	Set<Member.State> allStates() {
		Set<Member.State> states = new HashSet<>();
		for (Daemon daemon : this.daemons.values()) {
			daemon.membership.members().forEach((member) -> states.add(member.state()));
		}
		return states;
	}

	long count(String metric) {
		return this.daemons.values().stream().mapToLong((daemon) -> daemon.metrics.counter(metric).getCount()).sum();
	}

	private static DataCentre dataCentre(String vm) {
		return new DataCentre(vm.substring(0, vm.lastIndexOf('-')));
	}

	private CompletableFuture<List<VmRecord>> read() {
		this.polls++;
		CompletableFuture<List<VmRecord>> result = new CompletableFuture<>();
		List<VmRecord> listed = new ArrayList<>(this.list.values());
		this.scheduler.schedule(Duration.ofMillis(5), () -> {
			if (this.platformUnavailable) {
				result.completeExceptionally(new PlatformException(PlatformException.Kind.UNAVAILABLE, "down"));
			}
			else {
				result.complete(listed);
			}
		});
		return result;
	}

	/**
	 * A daemon of the fleet.
	 */
	final class Daemon {

		final Incarnation incarnation;

		final PausableScheduler scheduler = new PausableScheduler(Fleet.this.scheduler);

		final MetricRegistry metrics = new MetricRegistry();

		final MembershipService membership;

		int leaveCalls;

		private Daemon(String vm, long start) {
			this.incarnation = new Incarnation(new VmId(vm), start);
			PeerIdentity identity = new PeerIdentity(this.incarnation, dataCentre(vm), vm + ":1", vm + ":2");
			this.membership = MembershipService.builder()
				.settings(MembershipSettings.of(identity, List.of()))
				.scheduler(this.scheduler)
				.network(Fleet.this.hub.join(this.incarnation))
				.store(new ListOnlyStore(Fleet.this::read))
				.random(new Random(start))
				.metrics(this.metrics)
				.build();
			this.membership.onLeave(() -> this.leaveCalls++);
		}

	}

}
