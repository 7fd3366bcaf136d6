package org.bramleyscale.internal.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Asks other daemons whether they can reach a daemon, and answers their inquiries.
 *
 * <p>
 * Invariant: each inquiry has exactly one outcome, as soon as one daemon has reached the
 * target or all have answered, otherwise after a fixed time-out. Confined to the
 * scheduler's thread.
 */
final class Inquiries {

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final MembershipTimes times;

	private final Map<Long, PendingInquiry> pending = new HashMap<>();

	private final Map<Long, Consumer<Boolean>> probes = new HashMap<>();

	private long lastId;

	Inquiries(Scheduler scheduler, PeerNetwork network, MembershipTimes times) {
		this.scheduler = scheduler;
		this.network = network;
		this.times = times;
		network.listen(Inquiry.class, this::onInquiry);
		network.listen(InquiryResult.class, this::onResult);
		network.listen(Probe.class, (from, probe) -> network.send(from.vm(), new ProbeReply(probe.id())));
		network.listen(ProbeReply.class, (from, reply) -> endProbe(reply.id(), true));
	}

	/**
	 * Starts an inquiry.
	 * @param target the unresponsive daemon, which is also probed directly
	 * @param helpers the daemons to ask
	 * @param listener called with the outcome
	 */
	void start(VmId target, Collection<VmId> helpers, Consumer<Outcome> listener) {
		long id = ++this.lastId;
		PendingInquiry inquiry = new PendingInquiry(Set.copyOf(helpers), listener);
		this.pending.put(id, inquiry);
		probe(target, (reachable) -> recordResult(id, null, reachable));
		helpers.forEach((helper) -> this.network.send(helper, new Inquiry(id, target)));
		this.scheduler.schedule(this.times.inquiryTimeout(), () -> end(id));
	}

	private void onResult(Incarnation from, InquiryResult result) {
		recordResult(result.id(), from.vm(), result.reachable());
	}

	private void recordResult(long id, VmId helper, boolean reachable) {
		PendingInquiry inquiry = this.pending.get(id);
		if (inquiry == null) {
			return;
		}
		if (helper == null) {
			inquiry.probed = true;
		}
		else if (inquiry.asked.contains(helper)) {
			inquiry.answered.add(helper);
		}
		inquiry.reachable |= reachable;
		if (inquiry.reachable || (inquiry.probed && inquiry.answered.size() == inquiry.asked.size())) {
			end(id);
		}
	}

	private void end(long id) {
		PendingInquiry inquiry = this.pending.remove(id);
		if (inquiry != null) {
			inquiry.listener.accept(inquiry.outcome());
		}
	}

	private void onInquiry(Incarnation asker, Inquiry inquiry) {
		probe(inquiry.target(),
				(reachable) -> this.network.send(asker.vm(), new InquiryResult(inquiry.id(), reachable)));
	}

	private void probe(VmId target, Consumer<Boolean> listener) {
		long id = ++this.lastId;
		this.probes.put(id, listener);
		this.network.send(target, new Probe(id));
		this.scheduler.schedule(this.times.probeTimeout(), () -> endProbe(id, false));
	}

	private void endProbe(long id, boolean reachable) {
		Consumer<Boolean> listener = this.probes.remove(id);
		if (listener != null) {
			listener.accept(reachable);
		}
	}

	/**
	 * The outcome of an inquiry.
	 *
	 * @param reachable whether this daemon or one of those asked reached the target
	 * @param answered the daemons that answered
	 * @param unanswered the daemons that were asked and didn't answer
	 */
	record Outcome(boolean reachable, List<VmId> answered, List<VmId> unanswered) {
	}

	/**
	 * An inquiry that has no outcome yet.
	 */
	private static final class PendingInquiry {

		private final Set<VmId> asked;

		private final Consumer<Outcome> listener;

		private final Set<VmId> answered = new HashSet<>();

		private boolean probed;

		private boolean reachable;

		private PendingInquiry(Set<VmId> asked, Consumer<Outcome> listener) {
			this.asked = asked;
			this.listener = listener;
		}

		private Outcome outcome() {
			List<VmId> unanswered = new ArrayList<>(this.asked);
			unanswered.removeAll(this.answered);
			return new Outcome(this.reachable, List.copyOf(this.answered), List.copyOf(unanswered));
		}

	}

}
