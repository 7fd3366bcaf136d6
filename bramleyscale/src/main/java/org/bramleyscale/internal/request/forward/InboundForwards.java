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
 * The forwards that other daemons have sent here because this daemon issued their ids.
 *
 * <p>
 * Invariant: a request is forwarded once at most; one whose id names another incarnation
 * is answered {@link ErrorCode#HOME_GONE} and never passed on. Confined to the
 * scheduler's thread.
 */
public final class InboundForwards {

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final HomeLocator locator;

	private final HomeRequests home;

	private final RequestSettings settings;

	private final Map<Key, InboundForward> forwards = new HashMap<>();

	private final Map<Key, Arriving> arriving = new HashMap<>();

	/**
	 * Creates the registry and listens to the network.
	 * @param scheduler the scheduler
	 * @param network messages from and to entries
	 * @param membership tells which entries are gone
	 * @param home this daemon's requests
	 * @param settings bounds on what is taken
	 */
	public InboundForwards(Scheduler scheduler, PeerNetwork network, MembershipView membership, HomeRequests home,
			RequestSettings settings) {
		this.scheduler = scheduler;
		this.network = network;
		this.locator = new HomeLocator(membership);
		this.home = home;
		this.settings = settings;
		membership.onChange(this::checkEntries);
		listen();
	}

	public int size() {
		return this.forwards.size() + this.arriving.size();
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
		arrive(new Key(from, message.forward()), message.id(), message.timeLeftMillis(), message.promptBytes(),
				message.firstPart(), start);
	}

	private void call(Incarnation from, ForwardCall message) {
		BiFunction<byte[], Duration, Start> start = (body,
				left) -> (reader) -> this.home.call(
						new PlainRequest(Optional.of(RequestId.parse(message.id())),
								new ClientAccountId(message.account()), new ServiceName(message.service()),
								message.method(), message.path(), message.headers(), body, message.repeatable(), left),
						reader);
		arrive(new Key(from, message.forward()), message.id(), message.timeLeftMillis(), message.bodyBytes(),
				message.firstPart(), start);
	}

	private void resume(Incarnation from, ForwardResume message) {
		Key key = new Key(from, message.forward());
		RequestId id = RequestId.parse(message.id());
		if (issuedHere(key, id)) {
			begin(key, message.offset(),
					(reader) -> this.home.attach(id, new ClientAccountId(message.account()), reader));
		}
	}

	private void arrive(Key key, String id, long timeLeftMillis, int length, byte[] firstPart,
			BiFunction<byte[], Duration, Start> start) {
		if (!issuedHere(key, RequestId.parse(id))) {
			return;
		}
		if (length > this.settings.maxBodyBytes()) {
			refuse(key, new ServingException(ErrorCode.TOO_LARGE, Ran.NO, Step.FORWARD, "self",
					"the body has " + length + " bytes; at most " + this.settings.maxBodyBytes() + " are taken"));
			return;
		}
		long deadline = this.scheduler.nanos() + Duration.ofMillis(timeLeftMillis).toNanos();
		this.arriving.put(key, new Arriving(new PartReceiver(length), deadline, start));
		this.scheduler.schedule(Duration.ofMillis(timeLeftMillis), () -> this.arriving.remove(key));
		part(key, 0, firstPart);
	}

	private void part(Key key, int index, byte[] part) {
		Arriving body = this.arriving.get(key);
		if (body == null) {
			return;
		}
		if (!body.receiver.take(index, part)) {
			// A part was lost with its connection. The entry hears nothing more under
			// this number and sends the whole body again under another.
			this.arriving.remove(key);
			return;
		}
		if (!body.receiver.complete()) {
			send(key.entry, new ForwardBodyCredit(key.number, body.receiver.parts()));
			return;
		}
		this.arriving.remove(key);
		Duration left = Duration.ofNanos(body.deadline - this.scheduler.nanos());
		begin(key, 0, body.start.apply(body.receiver.whole(), left));
	}

	private void begin(Key key, long offset, Start start) {
		InboundForward forward = new InboundForward(this, key.entry, key.number, offset);
		this.forwards.put(key, forward);
		forward.attached(start.with(forward));
	}

	private boolean issuedHere(Key key, RequestId id) {
		if (this.locator.self(id.issuer())) {
			return true;
		}
		refuse(key, new ServingException(ErrorCode.HOME_GONE, Ran.UNKNOWN, Step.FORWARD, "self",
				"request id '" + id + "' was not issued by this start of the daemon"));
		return false;
	}

	private void refuse(Key key, ServingException failure) {
		send(key.entry, ForwardFailed.of(key.number, failure));
	}

	private void detach(Incarnation from, ForwardDetach message) {
		this.arriving.remove(new Key(from, message.forward()));
		find(from, message.forward()).ifPresent(InboundForward::detach);
	}

	private Optional<InboundForward> find(Incarnation from, long number) {
		return Optional.ofNullable(this.forwards.get(new Key(from, number)));
	}

	private void checkEntries() {
		List.copyOf(this.forwards.values())
			.stream()
			.filter((forward) -> this.locator.gone(forward.entry()))
			.forEach(InboundForward::detach);
		this.arriving.keySet().removeIf((key) -> this.locator.gone(key.entry));
	}

	/**
	 * Begins to read a request's record.
	 */
	@FunctionalInterface
	private interface Start {

		Cancellable with(RecordReader reader);

	}

	/**
	 * One forward of one entry.
	 *
	 * @param entry the entry
	 * @param number the number that the entry gave it
	 */
	private record Key(Incarnation entry, long number) {
	}

	/**
	 * A request whose body has not all arrived.
	 *
	 * @param receiver puts the body together
	 * @param deadline when its time is up
	 * @param start starts it
	 */
	private record Arriving(PartReceiver receiver, long deadline, BiFunction<byte[], Duration, Start> start) {
	}

}
