package org.bramleyscale.internal.request.forward;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiFunction;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.membership.MembershipView;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.request.PlainRequest;
import org.bramleyscale.internal.request.RequestSettings;
import org.bramleyscale.internal.request.answer.RecordReader;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Registry of the forwards received from other daemons because this daemon issued the
 * request ids.
 *
 * <p>
 * Invariant: a request is forwarded over at most one hop; one whose id was issued by
 * another incarnation is answered with {@link ErrorCode#HOME_GONE} and never forwarded
 * again. Confined to the scheduler's thread.
 */
public final class InboundForwards {

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final IncarnationLiveness liveness;

	private final HomeRequests home;

	private final RequestSettings settings;

	private final Map<Key, InboundForward> forwards = new HashMap<>();

	private final Map<Key, PendingRequest> pendingRequests = new HashMap<>();

	/**
	 * Creates the registry and subscribes to the peer messages.
	 * @param scheduler the scheduler
	 * @param network carries messages from and to entry daemons
	 * @param membership used to detect lost entry daemons
	 * @param home this daemon's requests
	 * @param settings the maximum body size
	 */
	public InboundForwards(Scheduler scheduler, PeerNetwork network, MembershipView membership, HomeRequests home,
			RequestSettings settings) {
		this.scheduler = scheduler;
		this.network = network;
		this.liveness = new IncarnationLiveness(membership);
		this.home = home;
		this.settings = settings;
		membership.onChange(this::checkEntries);
		listen();
	}

	public int size() {
		return this.forwards.size() + this.pendingRequests.size();
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	boolean send(Incarnation to, PeerMessage message) {
		return this.network.send(to.vm(), message);
	}

	void closed(InboundForward forward) {
		this.forwards.remove(new Key(forward.entry(), forward.number()));
	}

	private void listen() {
		this.network.listen(ForwardGenerate.class, this::generate);
		this.network.listen(ForwardCall.class, this::call);
		this.network.listen(ForwardResume.class, this::resume);
		this.network.listen(ForwardBody.class,
				(from, message) -> part(new Key(from, message.forward()), message.index(), message.part()));
		this.network.listen(ForwardCredit.class, (from, message) -> find(from, message.forward())
			.ifPresent((forward) -> forward.credit(message.characters())));
		this.network.listen(ForwardReplyCredit.class, (from, message) -> find(from, message.forward())
			.ifPresent((forward) -> forward.replyCredit(message.parts())));
		this.network.listen(ForwardDetach.class, this::detach);
		this.network.listen(CancelRequest.class, (from, message) -> this.home.cancel(RequestId.parse(message.id()),
				new ClientAccountId(message.account())));
	}

	private void generate(Incarnation from, ForwardGenerate message) {
		BiFunction<byte[], Duration, Start> start = (body, left) -> (reader) -> this.home.generate(
				new GenerateRequest(Optional.of(RequestId.parse(message.id())), new ClientAccountId(message.account()),
						new ServiceName(message.service()), new ModelName(message.model()),
						new String(body, StandardCharsets.UTF_8), message.maxTokens(), message.repeatable(), left),
				reader);
		receive(new Key(from, message.forward()), message.id(), message.timeLeftMillis(), message.promptBytes(),
				message.firstPart(), start);
	}

	private void call(Incarnation from, ForwardCall message) {
		BiFunction<byte[], Duration, Start> start = (body,
				left) -> (reader) -> this.home.call(
						new PlainRequest(Optional.of(RequestId.parse(message.id())),
								new ClientAccountId(message.account()), new ServiceName(message.service()),
								message.method(), message.path(), message.headers(), body, message.repeatable(), left),
						reader);
		receive(new Key(from, message.forward()), message.id(), message.timeLeftMillis(), message.bodyBytes(),
				message.firstPart(), start);
	}

	private void resume(Incarnation from, ForwardResume message) {
		Key key = new Key(from, message.forward());
		RequestId id = RequestId.parse(message.id());
		if (checkIssuer(key, id)) {
			begin(key, message.offset(),
					(reader) -> this.home.attach(id, new ClientAccountId(message.account()), reader));
		}
	}

	private void receive(Key key, String id, long timeLeftMillis, int length, byte[] firstPart,
			BiFunction<byte[], Duration, Start> start) {
		if (!checkIssuer(key, RequestId.parse(id))) {
			return;
		}
		if (length > this.settings.maxBodyBytes()) {
			refuse(key, new ServingException(ErrorCode.TOO_LARGE, Ran.NO, Step.FORWARD, "self",
					"the body has " + length + " bytes; the limit is " + this.settings.maxBodyBytes() + " bytes"));
			return;
		}
		long deadline = this.scheduler.nanos() + Duration.ofMillis(timeLeftMillis).toNanos();
		this.pendingRequests.put(key, new PendingRequest(new PartReceiver(length), deadline, start));
		this.scheduler.schedule(Duration.ofMillis(timeLeftMillis), () -> this.pendingRequests.remove(key));
		part(key, 0, firstPart);
	}

	private void part(Key key, int index, byte[] part) {
		PendingRequest pending = this.pendingRequests.get(key);
		if (pending == null) {
			return;
		}
		if (!pending.receiver.accept(index, part)) {
			// A part was lost with its connection. The entry daemon gets no further
			// messages under this number and resends the whole body under a new one.
			this.pendingRequests.remove(key);
			return;
		}
		if (!pending.receiver.complete()) {
			send(key.entry, new ForwardBodyCredit(key.number, pending.receiver.parts()));
			return;
		}
		this.pendingRequests.remove(key);
		Duration left = Duration.ofNanos(pending.deadline - this.scheduler.nanos());
		begin(key, 0, pending.start.apply(pending.receiver.content(), left));
	}

	private void begin(Key key, long offset, Start start) {
		InboundForward forward = new InboundForward(this, key.entry, key.number, offset);
		this.forwards.put(key, forward);
		forward.attached(start.with(forward));
	}

	private boolean checkIssuer(Key key, RequestId id) {
		if (this.liveness.self(id.issuer())) {
			return true;
		}
		refuse(key, new ServingException(ErrorCode.HOME_GONE, Ran.UNKNOWN, Step.FORWARD, "self",
				"request id '" + id + "' was not issued by this incarnation of the daemon"));
		return false;
	}

	private void refuse(Key key, ServingException failure) {
		send(key.entry, ForwardFailed.of(key.number, failure));
	}

	private void detach(Incarnation from, ForwardDetach message) {
		this.pendingRequests.remove(new Key(from, message.forward()));
		find(from, message.forward()).ifPresent(InboundForward::detach);
	}

	private Optional<InboundForward> find(Incarnation from, long number) {
		return Optional.ofNullable(this.forwards.get(new Key(from, number)));
	}

	private void checkEntries() {
		List.copyOf(this.forwards.values())
			.stream()
			.filter((forward) -> this.liveness.lost(forward.entry()))
			.forEach(InboundForward::detach);
		this.pendingRequests.keySet().removeIf((key) -> this.liveness.lost(key.entry));
	}

	/**
	 * Starts a request or attaches to it, and begins to read its record.
	 */
	@FunctionalInterface
	private interface Start {

		Cancellable with(RecordReader reader);

	}

	/**
	 * Identifies one forward of one entry daemon.
	 *
	 * @param entry the entry daemon
	 * @param number the forward number, assigned by the entry daemon
	 */
	private record Key(Incarnation entry, long number) {
	}

	/**
	 * A request whose body has not been received completely.
	 *
	 * @param receiver reassembles the body
	 * @param deadline the deadline on the clock of the scheduler, in nanoseconds
	 * @param start starts the request with its body and the time left
	 */
	private record PendingRequest(PartReceiver receiver, long deadline, BiFunction<byte[], Duration, Start> start) {
	}

}
