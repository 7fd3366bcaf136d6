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
 * A network between daemons in one JVM, with fault injection.
 *
 * <p>
 * Each message is encoded and decoded, so that a receiver gets only what the wire format
 * can carry, and arrives after a fixed latency, in the order of sending for each pair.
 * Confined to the scheduler's thread. <pre>
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

	private final Set<Direction> disconnectedDirections = new HashSet<>();

	private final Set<Direction> silentDirections = new HashSet<>();

	private final Map<VmId, List<Runnable>> heldDeliveries = new HashMap<>();

	private final Map<Class<? extends PeerMessage>, Integer> dropCounts = new HashMap<>();

	private final Map<VmId, Long> bytesSent = new HashMap<>();

	public InMemoryPeerHub(Scheduler scheduler, MessageCodec codec, Duration latency) {
		this.scheduler = scheduler;
		this.codec = codec;
		this.latency = latency;
	}

	/**
	 * Adds a daemon, connected to all others. A later incarnation replaces an earlier one
	 * on the same VM.
	 * @param self the daemon
	 * @return its network
	 */
	public InMemoryPeerNetwork join(Incarnation self) {
		InMemoryPeerNetwork network = new InMemoryPeerNetwork(this, self);
		this.networks.put(self.vm(), network);
		return network;
	}

	/**
	 * Removes a daemon: its connections close at once and messages in flight are lost.
	 * @param vm the daemon's VM
	 */
	public void kill(VmId vm) {
		this.networks.remove(vm);
	}

	/**
	 * Closes the connections between two VMs in a way that both sides detect.
	 * @param left one VM
	 * @param right the other VM
	 */
	public void disconnect(VmId left, VmId right) {
		this.disconnectedDirections.add(new Direction(left, right));
		this.disconnectedDirections.add(new Direction(right, left));
	}

	/**
	 * Drops all messages in one direction without an error at either end.
	 * @param from the VM whose messages are lost
	 * @param to the VM that doesn't receive them
	 */
	public void silence(VmId from, VmId to) {
		this.silentDirections.add(new Direction(from, to));
	}

	/**
	 * Reverts {@link #disconnect} and {@link #silence} between two VMs, in both
	 * directions.
	 * @param left one VM
	 * @param right the other VM
	 */
	public void heal(VmId left, VmId right) {
		for (Direction direction : List.of(new Direction(left, right), new Direction(right, left))) {
			this.disconnectedDirections.remove(direction);
			this.silentDirections.remove(direction);
		}
	}

	/**
	 * Holds back all messages to and from a VM, as if its process were paused. Timers of
	 * that daemon keep running, since all daemons share the scheduler.
	 * @param vm the VM
	 */
	public void pause(VmId vm) {
		this.heldDeliveries.putIfAbsent(vm, new ArrayList<>());
	}

	/**
	 * Delivers the messages that {@link #pause} held back.
	 * @param vm the VM
	 */
	public void resume(VmId vm) {
		List<Runnable> deliveries = this.heldDeliveries.remove(vm);
		if (deliveries != null) {
			deliveries.forEach(this.scheduler::execute);
		}
	}

	/**
	 * Drops the next message of a type from any sender; each further call drops one more.
	 * @param type the type of message
	 */
	public void dropNext(Class<? extends PeerMessage> type) {
		this.dropCounts.merge(type, 1, Integer::sum);
	}

	/**
	 * Returns the number of bytes that a VM has sent, including each frame's length
	 * field.
	 * @param vm the VM
	 * @return the bytes sent since the hub was created
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
		if (!dropped(message.getClass()) && !this.silentDirections.contains(new Direction(sender, to))) {
			this.scheduler.schedule(this.latency, () -> deliver(from, receiver, payload));
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
				&& !this.disconnectedDirections.contains(new Direction(from.self().vm(), to.self().vm()));
	}

	private boolean running(InMemoryPeerNetwork network) {
		return this.networks.get(network.self().vm()) == network;
	}

	private boolean dropped(Class<? extends PeerMessage> type) {
		int remaining = this.dropCounts.getOrDefault(type, 0);
		if (remaining == 0) {
			return false;
		}
		this.dropCounts.put(type, remaining - 1);
		return true;
	}

	private void deliver(InMemoryPeerNetwork from, InMemoryPeerNetwork to, byte[] payload) {
		for (InMemoryPeerNetwork end : List.of(from, to)) {
			List<Runnable> deliveries = this.heldDeliveries.get(end.self().vm());
			if (deliveries != null) {
				deliveries.add(() -> deliver(from, to, payload));
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
			throw new IllegalStateException("codec can't decode a payload that it encoded", ex);
		}
	}

	/**
	 * One direction of the traffic between two VMs.
	 *
	 * @param from the sender
	 * @param to the receiver
	 */
	private record Direction(VmId from, VmId to) {
	}

}
