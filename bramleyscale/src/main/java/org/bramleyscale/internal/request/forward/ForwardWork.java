package org.bramleyscale.internal.request.forward;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;

import org.bramleyscale.ClientAccountId;
import org.bramleyscale.RequestId;
import org.bramleyscale.internal.peer.PeerMessage;
import org.bramleyscale.internal.request.GenerateRequest;
import org.bramleyscale.internal.request.PlainRequest;
import org.bramleyscale.internal.request.answer.AnswerLog;
import org.bramleyscale.internal.request.answer.RecordReader;
import org.bramleyscale.internal.time.Cancellable;

/**
 * What an entry forwards to the home of a request. Immutable and safe for use by multiple
 * threads.
 */
sealed interface ForwardWork {

	RequestId id();

	ClientAccountId account();

	/**
	 * How long it may take.
	 * @return the time, or empty if only the home knows
	 */
	Optional<Duration> timeLeft();

	/**
	 * Whether it can be started elsewhere once its home is lost.
	 * @return true if it may be repeated and all of it is known here
	 */
	boolean adoptable();

	/**
	 * The first token that the caller wants.
	 * @return the offset
	 */
	long offset();

	byte[] body();

	/**
	 * The message that begins a forward.
	 * @param forward its number
	 * @param timeLeft how long it may still take
	 * @param parts sends the body
	 * @return the message
	 */
	PeerMessage message(long forward, Duration timeLeft, PartSender parts);

	/**
	 * Starts it at this daemon because its home is lost; it must be adoptable.
	 * @param here this daemon's requests
	 * @param left how long it may still take
	 * @param delivered the answer that the caller already has, or null
	 * @param reader takes the rest
	 * @return takes the reader away
	 */
	Cancellable adopt(HomeRequests here, Duration left, AnswerLog delivered, RecordReader reader);

	/**
	 * A generation.
	 *
	 * @param request the caller's request, with an id
	 */
	record Generation(GenerateRequest request) implements ForwardWork {

		@Override
		public RequestId id() {
			return this.request.id().orElseThrow();
		}

		@Override
		public ClientAccountId account() {
			return this.request.account();
		}

		@Override
		public Optional<Duration> timeLeft() {
			return Optional.of(this.request.timeLeft());
		}

		@Override
		public boolean adoptable() {
			return this.request.repeatable();
		}

		@Override
		public long offset() {
			return 0;
		}

		@Override
		public byte[] body() {
			return this.request.prompt().getBytes(StandardCharsets.UTF_8);
		}

		@Override
		public PeerMessage message(long forward, Duration timeLeft, PartSender parts) {
			return new ForwardGenerate(forward, id().toString(), account().value(), this.request.service().value(),
					this.request.model().value(), this.request.maxTokens(), this.request.repeatable(),
					timeLeft.toMillis(), parts.length(), parts.first());
		}

		@Override
		public Cancellable adopt(HomeRequests here, Duration left, AnswerLog delivered, RecordReader reader) {
			GenerateRequest rest = new GenerateRequest(this.request.id(), this.request.account(),
					this.request.service(), this.request.model(), this.request.prompt(), this.request.maxTokens(),
					this.request.repeatable(), left);
			return here.adopt(rest, delivered, reader);
		}

	}

	/**
	 * A call of a plain service.
	 *
	 * @param request the caller's request, with an id
	 */
	record Call(PlainRequest request) implements ForwardWork {

		@Override
		public RequestId id() {
			return this.request.id().orElseThrow();
		}

		@Override
		public ClientAccountId account() {
			return this.request.account();
		}

		@Override
		public Optional<Duration> timeLeft() {
			return Optional.of(this.request.timeLeft());
		}

		@Override
		public boolean adoptable() {
			return this.request.repeatable();
		}

		@Override
		public long offset() {
			return 0;
		}

		@Override
		public byte[] body() {
			return this.request.body();
		}

		@Override
		public PeerMessage message(long forward, Duration timeLeft, PartSender parts) {
			return new ForwardCall(forward, id().toString(), account().value(), this.request.service().value(),
					this.request.method(), this.request.path(), this.request.headers(), this.request.repeatable(),
					timeLeft.toMillis(), parts.length(), parts.first());
		}

		@Override
		public Cancellable adopt(HomeRequests here, Duration left, AnswerLog delivered, RecordReader reader) {
			PlainRequest rest = new PlainRequest(this.request.id(), this.request.account(), this.request.service(),
					this.request.method(), this.request.path(), this.request.headers(), this.request.body(),
					this.request.repeatable(), left);
			return here.adopt(rest, reader);
		}

	}

	/**
	 * An answer to be read on.
	 *
	 * @param id the request
	 * @param account who asks
	 * @param offset the first token wanted
	 */
	record Resume(RequestId id, ClientAccountId account, long offset) implements ForwardWork {

		private static final byte[] NO_BODY = {};

		@Override
		public Optional<Duration> timeLeft() {
			return Optional.empty();
		}

		@Override
		public boolean adoptable() {
			return false;
		}

		@Override
		public byte[] body() {
			return NO_BODY;
		}

		@Override
		public PeerMessage message(long forward, Duration timeLeft, PartSender parts) {
			return new ForwardResume(forward, this.id.toString(), this.account.value(), this.offset);
		}

		@Override
		public Cancellable adopt(HomeRequests here, Duration left, AnswerLog delivered, RecordReader reader) {
			throw new IllegalStateException("the prompt of request '" + this.id + "' is not known here");
		}

	}

}
