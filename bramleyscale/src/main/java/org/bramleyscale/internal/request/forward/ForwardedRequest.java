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
 * A request that an entry daemon forwards to the home daemon. Immutable and safe for use
 * by multiple threads.
 */
sealed interface ForwardedRequest {

	RequestId id();

	ClientAccountId account();

	/**
	 * Returns the time left until the deadline.
	 * @return the time, or empty if only the home daemon knows the deadline
	 */
	Optional<Duration> timeLeft();

	/**
	 * Whether this daemon can start the request itself once the home daemon is lost.
	 * @return true if the request is repeatable and completely known here
	 */
	boolean canBeTakenOver();

	/**
	 * Returns the offset of the first token that the caller requests.
	 * @return the offset
	 */
	long offset();

	byte[] body();

	/**
	 * Creates the first message of a forward.
	 * @param forward the forward number
	 * @param timeLeft the time left until the deadline
	 * @param parts sends the body in parts
	 * @return the message
	 */
	PeerMessage message(long forward, Duration timeLeft, PartSender parts);

	/**
	 * Starts the request at this daemon because its home daemon is lost. The request must
	 * be one that {@linkplain #canBeTakenOver() can be taken over}.
	 * @param localRequests this daemon's requests
	 * @param remainingTime the time left until the deadline
	 * @param delivered the part of the answer already delivered to the caller, or null
	 * @param reader receives the rest of the answer
	 * @return a handle that detaches the reader
	 */
	Cancellable takeOver(HomeRequests localRequests, Duration remainingTime, AnswerLog delivered, RecordReader reader);

	/**
	 * A generation request.
	 *
	 * @param request the caller's request, with an id
	 */
	record Generation(GenerateRequest request) implements ForwardedRequest {

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
		public boolean canBeTakenOver() {
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
		public Cancellable takeOver(HomeRequests localRequests, Duration remainingTime, AnswerLog delivered,
				RecordReader reader) {
			GenerateRequest takenOver = new GenerateRequest(this.request.id(), this.request.account(),
					this.request.service(), this.request.model(), this.request.prompt(), this.request.maxTokens(),
					this.request.repeatable(), remainingTime);
			return localRequests.takeOver(takenOver, delivered, reader);
		}

	}

	/**
	 * A plain service call.
	 *
	 * @param request the caller's request, with an id
	 */
	record Call(PlainRequest request) implements ForwardedRequest {

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
		public boolean canBeTakenOver() {
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
		public Cancellable takeOver(HomeRequests localRequests, Duration remainingTime, AnswerLog delivered,
				RecordReader reader) {
			PlainRequest takenOver = new PlainRequest(this.request.id(), this.request.account(), this.request.service(),
					this.request.method(), this.request.path(), this.request.headers(), this.request.body(),
					this.request.repeatable(), remainingTime);
			return localRequests.takeOver(takenOver, reader);
		}

	}

	/**
	 * A request to resume reading an answer.
	 *
	 * @param id the request
	 * @param account the requesting client account
	 * @param offset the offset of the first requested token
	 */
	record Resume(RequestId id, ClientAccountId account, long offset) implements ForwardedRequest {

		private static final byte[] NO_BODY = {};

		@Override
		public Optional<Duration> timeLeft() {
			return Optional.empty();
		}

		@Override
		public boolean canBeTakenOver() {
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
		public Cancellable takeOver(HomeRequests localRequests, Duration remainingTime, AnswerLog delivered,
				RecordReader reader) {
			throw new IllegalStateException("request '" + this.id + "' can't be started here: its prompt is unknown");
		}

	}

}
