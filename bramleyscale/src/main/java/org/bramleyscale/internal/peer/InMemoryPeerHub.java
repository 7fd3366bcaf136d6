package org.bramleyscale.internal.peer;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.time.Scheduler;

/**
 * A network between daemons in one JVM, with switches for what can fail.
 *
 * <p>
 * Each message passes through the codec, so that nothing reaches a receiver that the wire
 * wouldn't carry, and arrives after a fixed latency, in the order of sending for each
 * pair. Confined to the scheduler's thread. <pre>
 * InMemoryPeerHub hub = new InMemoryPeerHub(scheduler, codec, Duration.ofMillis(1));
 * PeerNetwork first = hub.join(new Incarnation(new VmId("entry-1"), 1));
 * </pre>
 */
public final class InMemoryPeerHub {

	private final Scheduler scheduler;

	private final MessageCodec codec;

	private final Duration latency;

	private final Map<VmId, InMemoryPeerNetwork> networks = new TreeMap<>(
			(left, right) -> left.value().compareTo(right.value()));

	private final Set<Link> cut = new HashSet<>();

	private final Set<Link> silent = new HashSet<>();

	private final Map<VmId, List<Runnable>> held = new HashMap<>();

	private final Map<Class<? extends PeerMessage>, Integer> toDrop = new HashMap<>();

	private final Map<VmId, Long> bytesSent = new HashMap<>();

	public InMemoryPeerHub(Scheduler scheduler, MessageCodec codec, Duration latency) {
		this.scheduler = scheduler;
		this.codec = codec;
		this.latency = latency;
	}

	/**
	 * Adds a daemon, connected to all others; a later start replaces an earlier one on
	 * the same VM.
	 * @param self the daemon
	 * @return its network
	 */
	public InMemoryPeerNetwork join(Incarnation self) {
		InMemoryPeerNetwork network = new InMemoryPeerNetwork(this, self);
		this.networks.put(self.vm(), network);
		return network;
	}

	/**
	 * Ends a daemon: its connections close at once and messages under way are lost.
	 * @param vm where it runs
	 */
	public void kill(VmId vm) {
		this.networks.remove(vm);
	}

	/**
	 * Breaks the connections between two VMs in a way that both notice.
	 * @param left one VM
	 * @param right the other VM
	 */
	public void cut(VmId left, VmId right) {
		this.cut.add(new Link(left, right));
		this.cut.add(new Link(right, left));
	}

	/**
	 * Loses all messages in one direction without an error at either end.
	 * @param from the VM whose messages are lost
	 * @param to the VM that doesn't get them
	 */
	public void silence(VmId from, VmId to) {
		this.silent.add(new Link(from, to));
	}

	/**
	 * Ends what {@link #cut} and {@link #silence} began between two VMs, in both
	 * directions.
	 * @param left one VM
	 * @param right the other VM
	 */
	public void heal(VmId left, VmId right) {
		for (Link link : List.of(new Link(left, right), new Link(right, left))) {
			this.cut.remove(link);
			this.silent.remove(link);
		}
	}

	/**
	 * Holds back all messages to and from a VM, as when its process is paused. Timers of
	 * that daemon go on, since all daemons share the scheduler.
	 * @param vm the VM
	 */
	public void pause(VmId vm) {
		this.held.putIfAbsent(vm, new ArrayList<>());
	}

	/**
	 * Delivers what {@link #pause} held back.
	 * @param vm the VM
	 */
	public void resume(VmId vm) {
		List<Runnable> deliveries = this.held.remove(vm);
		if (deliveries != null) {
			deliveries.forEach(this.scheduler::execute);
		}
	}

	/**
	 * Loses the next message of a type, whoever sends it; calling again adds one more.
	 * @param type the type
	 */
	public void dropNext(Class<? extends PeerMessage> type) {
		this.toDrop.merge(type, 1, Integer::sum);
	}

	/**
	 * The bytes that a VM has put on the wire, each frame's length field included.
	 * @param vm the VM
	 * @return the bytes since the hub was made
	 */
	public long bytesSent(VmId vm) {
		return this.bytesSent.getOrDefault(vm, 0L);
	}

	boolean send(InMemoryPeerNetwork from, VmId to, PeerMessage message) {
		byte[] payload = this.codec.encode(message);
		InMemoryPeerNetwork receiver = this.networks.get(to);
		if (!connected(from, receiver)) {
			return false;
		}
		VmId sender = from.self().vm();
		this.bytesSent.merge(sender, (long) Integer.BYTES + payload.length, Long::sum);
		if (!dropped(message.getClass()) && !this.silent.contains(new Link(sender, to))) {
			this.scheduler.schedule(this.latency, () -> arrive(from, receiver, payload));
		}
		return true;
	}

	Set<VmId> connected(InMemoryPeerNetwork from) {
		Set<VmId> result = new TreeSet<>((left, right) -> left.value().compareTo(right.value()));
		for (InMemoryPeerNetwork other : this.networks.values()) {
			if (connected(from, other)) {
				result.add(other.self().vm());
			}
		}
		return result;
	}

	private boolean connected(InMemoryPeerNetwork from, InMemoryPeerNetwork to) {
		return to != null && to != from && running(from) && running(to)
				&& !this.cut.contains(new Link(from.self().vm(), to.self().vm()));
	}

	private boolean running(InMemoryPeerNetwork network) {
		return this.networks.get(network.self().vm()) == network;
	}

	private boolean dropped(Class<? extends PeerMessage> type) {
		int left = this.toDrop.getOrDefault(type, 0);
		if (left == 0) {
			return false;
		}
		this.toDrop.put(type, left - 1);
		return true;
	}

	private void arrive(InMemoryPeerNetwork from, InMemoryPeerNetwork to, byte[] payload) {
		for (InMemoryPeerNetwork end : List.of(from, to)) {
			List<Runnable> deliveries = this.held.get(end.self().vm());
			if (deliveries != null) {
				deliveries.add(() -> arrive(from, to, payload));
				return;
			}
		}
		if (connected(from, to)) {
			to.deliver(from.self(), decode(from, payload));
		}
	}

	private PeerMessage decode(InMemoryPeerNetwork from, byte[] payload) {
		try {
			return this.codec.decode(from.self().toString(), payload).orElseThrow();
		}
		catch (PeerProtocolException ex) {
			throw new IllegalStateException("the codec can't read what it wrote", ex);
		}
	}

	/**
	 * One direction between two VMs.
	 *
	 * @param from the sender
	 * @param to the receiver
	 */
	private record Link(VmId from, VmId to) {
	}

}
