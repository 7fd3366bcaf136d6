package org.bramleyscale.internal.request.forward;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.request.AnswerSink;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.request.PlainRequest;
import org.bramleyscale.internal.request.PlainSink;
import org.bramleyscale.internal.request.RequestMetrics;
import org.bramleyscale.internal.request.RequestSettings;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Registry of the requests received from callers here whose home is another daemon.
 *
 * <p>
 * Invariant: a number identifies one forward and is never reused. Confined to the
 * scheduler's thread.
 */
public final class OutboundForwards {

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final IncarnationLiveness liveness;

	private final HomeRequests home;

	private final RequestSettings settings;

	private final RequestMetrics metrics;

	private final Map<Long, OutboundForward> forwards = new LinkedHashMap<>();

	private long lastNumber;

	/**
	 * Creates the registry and subscribes to the peer messages.
	 * @param scheduler the scheduler
	 * @param network carries messages from and to home daemons
	 * @param membership used to detect lost home daemons
	 * @param home this daemon's own requests
	 * @param settings the timeouts
	 * @param metrics counts forwards
	 */
	public OutboundForwards(Scheduler scheduler, PeerNetwork network, MembershipView membership, HomeRequests home,
			RequestSettings settings, RequestMetrics metrics) {
		this.scheduler = scheduler;
		this.network = network;
		this.liveness = new IncarnationLiveness(membership);
		this.home = home;
		this.settings = settings;
		this.metrics = metrics;
		membership.onChange(this::checkHomes);
		listen();
	}

	public Cancellable generate(GenerateRequest request, AnswerSink sink) {
		return begin(new ForwardedRequest.Generation(request), new AnswerCaller(sink));
	}

	public Cancellable call(PlainRequest request, PlainSink sink) {
		return begin(new ForwardedRequest.Call(request), new PlainCaller(sink));
	}

	public Cancellable resume(RequestId id, ClientAccountId account, long offset, AnswerSink sink) {
		return begin(new ForwardedRequest.Resume(id, account, offset), new AnswerCaller(sink));
	}

	public void cancel(RequestId id, ClientAccountId account) {
		send(id.issuer(), new CancelRequest(id.toString(), account.value()));
	}

	public int size() {
		return this.forwards.size();
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	HomeRequests home() {
		return this.home;
	}

	RequestSettings settings() {
		return this.settings;
	}

	RequestMetrics metrics() {
		return this.metrics;
	}

	boolean mayRecover(RequestId id) {
		return !this.liveness.lost(id.issuer());
	}

	boolean send(Incarnation to, PeerMessage message) {
		return this.network.send(to.vm(), message);
	}

	/**
	 * Assigns a new number to a forward, so that messages under its old one are ignored.
	 * @param forward the forward
	 * @return the new number
	 */
	long renumber(OutboundForward forward) {
		this.forwards.remove(forward.number());
		this.lastNumber++;
		this.forwards.put(this.lastNumber, forward);
		return this.lastNumber;
	}

	void closed(OutboundForward forward) {
		this.forwards.remove(forward.number());
	}

	private Cancellable begin(ForwardedRequest forwarded, ForwardCaller caller) {
		OutboundForward forward = new OutboundForward(this, forwarded, caller);
		if (this.liveness.lost(forwarded.id().issuer())) {
			forward.homeLost();
		}
		else {
			this.metrics.forwarded();
			forward.begin();
		}
		return forward::detach;
	}

	private void checkHomes() {
		for (OutboundForward forward : List.copyOf(this.forwards.values())) {
			if (this.liveness.lost(forward.id().issuer())) {
				forward.homeLost();
			}
		}
	}

	private void listen() {
		this.network.listen(ForwardBodyCredit.class, (from, message) -> dispatch(from, message.forward(),
				(forward) -> forward.bodyAcknowledged(message.parts())));
		this.network.listen(ForwardAccepted.class, (from, message) -> dispatch(from, message.forward(),
				(forward) -> forward.accepted(RequestId.parse(message.id()))));
		this.network.listen(ForwardTokens.class,
				(from, message) -> dispatch(from, message.forward(), (forward) -> forward.tokens(message)));
		this.network.listen(ForwardDone.class,
				(from, message) -> dispatch(from, message.forward(), (forward) -> forward.done(message)));
		this.network.listen(ForwardReply.class,
				(from, message) -> dispatch(from, message.forward(), (forward) -> forward.replied(message)));
		this.network.listen(ForwardReplyPart.class, (from, message) -> dispatch(from, message.forward(),
				(forward) -> forward.replyPart(message.index(), message.part())));
		this.network.listen(ForwardFailed.class,
				(from, message) -> dispatch(from, message.forward(), (forward) -> forward.failed(message)));
	}

	private void dispatch(Incarnation from, long number, Consumer<OutboundForward> event) {
		OutboundForward forward = this.forwards.get(number);
		if (forward != null && forward.id().issuer().vm().equals(from.vm())) {
			event.accept(forward);
		}
		else {
			this.metrics.lateFrame();
		}
	}

}
