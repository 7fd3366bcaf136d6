package org.bramleyscale.internal.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.time.Duration;
import java.util.Arrays;

import io.netty.buffer.ByteBuf;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.endpoint.EngineFrame;
import org.bramleyscale.internal.endpoint.EngineListener;
import org.bramleyscale.internal.endpoint.EngineUsage;
import org.bramleyscale.internal.time.Cancellable;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;
import ratpack.exec.Execution;
import ratpack.http.client.StreamedResponse;

/**
 * The answer of one attempt, read from one connection to an engine.
 *
 * <p>
 * Invariant: the listener hears one end and nothing after it, and nothing after
 * {@link #cancel()}. Bytes are decoded on an HTTP thread; the listener is called on the
 * scheduler's thread.
 */
final class EngineStream implements Cancellable, Subscriber<ByteBuf> {

	private static final int LARGEST_EVENT = 8 << 20;

	private static final int HTTP_OK = 200;

	private static final int LARGEST_REFUSAL = 64 << 10;

	private final EndpointEntry endpoint;

	private final RequestId id;

	private final Step firstStep;

	private final EngineListener listener;

	private final Mailbox mailbox;

	private final EventDecoder decoder = new EventDecoder(LARGEST_EVENT, this::event);

	private final ByteArrayOutputStream refusal = new ByteArrayOutputStream();

	private Cancellable timer = () -> {
	};

	private boolean accepted;

	private boolean ended;

	private volatile boolean closed;

	private volatile Subscription subscription;

	private volatile Execution execution;

	private int status;

	/**
	 * Creates a stream.
	 * @param endpoint the engine
	 * @param id the request
	 * @param firstStep what is being done until the engine accepts
	 * @param listener takes the answer
	 * @param mailbox leads to the scheduler's thread
	 */
	EngineStream(EndpointEntry endpoint, RequestId id, Step firstStep, EngineListener listener, Mailbox mailbox) {
		this.endpoint = endpoint;
		this.id = id;
		this.firstStep = firstStep;
		this.listener = listener;
		this.mailbox = mailbox;
	}

	/**
	 * Ends the attempt without a connection. Called on the scheduler's thread.
	 * @param failure why
	 */
	void refuse(ServingException failure) {
		this.mailbox.post(() -> fail(failure));
	}

	void timer(Cancellable newTimer) {
		this.timer = newTimer;
	}

	/**
	 * Ends the attempt because its time is over. Called on the scheduler's thread.
	 * @param limit how long it was
	 */
	void timedOut(Duration limit) {
		fail(new ServingException(ErrorCode.DEADLINE_EXCEEDED, ranIfUnanswered(), step(), this.endpoint.name().value(),
				"no complete answer within " + limit.toMillis() + " ms"));
	}

	@Override
	public void cancel() {
		this.ended = true;
		close();
	}

	/**
	 * Takes the answer's head. Called on an HTTP thread.
	 * @param response the answer
	 */
	void received(StreamedResponse response) {
		this.status = response.getStatusCode();
		this.execution = Execution.current();
		response.getBody().subscribe(this);
	}

	/**
	 * Takes a failure of the connection. Called on an HTTP thread.
	 * @param cause what happened
	 */
	void broken(Throwable cause) {
		this.mailbox.post(() -> {
			if (!this.ended) {
				fail(EngineFailure.of(this.endpoint.name(), step(), ranIfUnanswered(), cause));
			}
		});
	}

	@Override
	public void onSubscribe(Subscription newSubscription) {
		this.subscription = newSubscription;
		if (this.closed) {
			newSubscription.cancel();
		}
		else {
			newSubscription.request(Long.MAX_VALUE);
		}
	}

	@Override
	public void onNext(ByteBuf bytes) {
		try {
			if (this.status == HTTP_OK) {
				this.decoder.feed(bytes);
			}
			else if (this.refusal.size() < LARGEST_REFUSAL) {
				bytes.readBytes(this.refusal, bytes.readableBytes());
			}
		}
		catch (IOException ex) {
			this.subscription.cancel();
			broken(ex);
		}
		finally {
			bytes.release();
		}
	}

	@Override
	public void onError(Throwable cause) {
		broken(cause);
	}

	@Override
	public void onComplete() {
		if (this.status == HTTP_OK) {
			broken(new IOException("the engine closed the stream before its end"));
			return;
		}
		byte[] body = this.refusal.toByteArray();
		this.mailbox.post(() -> fail(EngineFailure.refused(this.endpoint.name(), this.firstStep, this.status, body)));
	}

	private void event(String name, byte[] bytes, int offset, int length) throws IOException {
		switch (name) {
			case "accepted" -> this.mailbox.post(this::accept);
			case "frame" -> {
				EngineFrame frame = EngineJson.frame(this.id, bytes, offset, length);
				this.mailbox.post(() -> frame(frame));
			}
			case "done" -> {
				EngineUsage usage = EngineJson.usage(bytes, offset, length);
				this.mailbox.post(() -> complete(usage));
			}
			case "error" -> {
				byte[] json = Arrays.copyOfRange(bytes, offset, offset + length);
				this.mailbox.post(() -> fail(EngineFailure.refused(this.endpoint.name(), step(), this.status, json)));
			}
			default -> throw new IOException("the engine sent an event '" + name + "'");
		}
	}

	private void accept() {
		if (!this.ended && !this.accepted) {
			this.accepted = true;
			this.listener.accepted();
		}
	}

	private void frame(EngineFrame frame) {
		if (!this.ended) {
			this.listener.frame(frame);
		}
	}

	private void complete(EngineUsage usage) {
		if (!this.ended) {
			this.ended = true;
			this.timer.cancel();
			this.listener.completed(usage);
		}
	}

	private void fail(ServingException failure) {
		if (!this.ended) {
			this.ended = true;
			close();
			this.listener.failed(failure);
		}
	}

	private void close() {
		this.closed = true;
		this.timer.cancel();
		Subscription open = this.subscription;
		if (open != null && !this.execution.getEventLoop().isShuttingDown()) {
			this.execution.getEventLoop().execute(open::cancel);
		}
	}

	private Step step() {
		return this.accepted ? Step.STREAM : this.firstStep;
	}

	private Ran ranIfUnanswered() {
		return this.accepted ? Ran.YES : Ran.UNKNOWN;
	}

}
