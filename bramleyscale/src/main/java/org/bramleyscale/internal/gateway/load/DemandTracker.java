package org.bramleyscale.internal.gateway.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bramleyscale.ServiceName;
import org.bramleyscale.internal.time.Clock;

/**
 * Tracks, for each service and over all daemons, the active short requests and the
 * prefill work that waits at daemons.
 *
 * <p>
 * Invariant: the demand of a peer expires {@link LoadTracker#PEER_EXPIRY} after its last
 * update. Confined to the scheduler's thread.
 */
public final class DemandTracker {

	private static final double MILLIS_PER_SECOND = 1_000;

	private final Clock clock;

	private final Map<ServiceName, LocalDemand> local = new HashMap<>();

	private final Map<String, PeerDemand> peers = new HashMap<>();

	private Runnable peerListener = () -> {
	};

	public DemandTracker(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Sets the listener that is called when a peer has reported its demand, which it does
	 * together with its load.
	 * @param listener the listener
	 */
	public void onPeerChange(Runnable listener) {
		this.peerListener = listener;
	}

	public void shortBegan(ServiceName service) {
		local(service).shortActive++;
	}

	public void shortEnded(ServiceName service) {
		local(service).shortActive--;
	}

	/**
	 * Records the slot time of a short request that arrives.
	 * @param service the service
	 * @param slotMillis the time that it will occupy a slot, ms
	 */
	public void shortArrived(ServiceName service, double slotMillis) {
		local(service).arrivals.add(slotMillis, this.clock.nanos());
	}

	/**
	 * The slots that short requests occupy on average if they keep arriving on all
	 * daemons as in the last second.
	 * @param service the service
	 * @return the number
	 */
	public int shortSlots(ServiceName service) {
		double sum = local(service).arrivals.millisInLastSecond(this.clock.nanos());
		for (LoadUpdate.Demand demand : peerDemands(service)) {
			sum += demand.arrivedMillis();
		}
		return (int) Math.ceil(sum / MILLIS_PER_SECOND);
	}

	/**
	 * Records that a long prompt waits to be sent.
	 * @param service the service
	 * @param prefillMillis its prefill time, ms
	 */
	public void waitBegan(ServiceName service, double prefillMillis) {
		LocalDemand demand = local(service);
		demand.waiting++;
		demand.waitingMillis += prefillMillis;
	}

	/**
	 * Records that a long prompt no longer waits.
	 * @param service the service
	 * @param prefillMillis its prefill time, ms, as passed when it began to wait
	 */
	public void waitEnded(ServiceName service, double prefillMillis) {
		LocalDemand demand = local(service);
		demand.waiting--;
		demand.waitingMillis -= prefillMillis;
	}

	/**
	 * The waiting prefill work that is done before a given prompt if shorter prompts go
	 * first.
	 * @param service the service
	 * @param prefillMillis the prefill time of the prompt, ms
	 * @return the time on one engine, ms
	 */
	public double waitingAhead(ServiceName service, double prefillMillis) {
		LocalDemand localDemand = local(service);
		double sum = prefillAhead(localDemand.waiting, localDemand.waitingMillis, prefillMillis);
		for (LoadUpdate.Demand demand : peerDemands(service)) {
			sum += prefillAhead(demand.waiting(), demand.waitingMillis(), prefillMillis);
		}
		return sum;
	}

	private static double prefillAhead(int waiting, double waitingMillis, double prefillMillis) {
		return (waiting > 0) ? waiting * Math.min(prefillMillis, waitingMillis / waiting) : 0;
	}

	/**
	 * The active short requests on all daemons.
	 * @param service the service
	 * @return the number
	 */
	public int shortActive(ServiceName service) {
		int sum = local(service).shortActive;
		for (LoadUpdate.Demand demand : peerDemands(service)) {
			sum += demand.shortActive();
		}
		return sum;
	}

	public List<LoadUpdate.Demand> demands() {
		List<LoadUpdate.Demand> demands = new ArrayList<>();
		this.local.forEach((service,
				demand) -> demands.add(new LoadUpdate.Demand(service.value(), demand.shortActive, demand.waiting,
						(int) Math.round(demand.waitingMillis),
						(int) Math.round(demand.arrivals.millisInLastSecond(this.clock.nanos())))));
		return demands;
	}

	/**
	 * Replaces the demand that a source last reported.
	 * @param source a peer, or a group of peers
	 * @param demands the demand by service
	 */
	public void replace(String source, List<LoadUpdate.Demand> demands) {
		this.peers.put(source, new PeerDemand(this.clock.nanos(), demands));
		this.peerListener.run();
	}

	private List<LoadUpdate.Demand> peerDemands(ServiceName service) {
		List<LoadUpdate.Demand> result = new ArrayList<>();
		Set<String> expired = new HashSet<>();
		this.peers.forEach((source, peerDemand) -> {
			if (this.clock.nanos() - peerDemand.receivedAt() > LoadTracker.PEER_EXPIRY.toNanos()) {
				expired.add(source);
				return;
			}
			peerDemand.demands()
				.stream()
				.filter((demand) -> demand.service().equals(service.value()))
				.forEach(result::add);
		});
		this.peers.keySet().removeAll(expired);
		return result;
	}

	private LocalDemand local(ServiceName service) {
		return this.local.computeIfAbsent(service, (name) -> new LocalDemand());
	}

	/**
	 * The demand reported by a source.
	 *
	 * @param receivedAt when the report arrived
	 * @param demands the demand by service
	 */
	private record PeerDemand(long receivedAt, List<LoadUpdate.Demand> demands) {
	}

	/**
	 * The demand at this daemon for one service.
	 */
	private static final class LocalDemand {

		private final ArrivalRate arrivals = new ArrivalRate();

		private int shortActive;

		private int waiting;

		private double waitingMillis;

	}

}
