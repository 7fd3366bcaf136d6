package org.bramleyscale.internal.http;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import org.reactivestreams.Publisher;
import org.reactivestreams.Subscriber;
import org.reactivestreams.Subscription;

/**
 * The body of one streamed HTTP answer, fed from another thread than the one that writes
 * it.
 *
 * <p>
 * Invariants: bytes leave in the order in which they were sent; at most the given limit
 * of bytes waits for the reader; everything that waits when the reader takes more goes
 * out in one write. {@link #send}, {@link #end} and {@link #abort} may be called from any
 * one thread at a time; the rest is confined to the channel's event loop.
 */
public final class EventStream implements Publisher<ByteBuf>, Subscription {

	private final Channel channel;

	private final long limit;

	private final Queue<byte[]> waiting = new ConcurrentLinkedQueue<>();

	private final AtomicLong waitingBytes = new AtomicLong();

	private final AtomicBoolean drainPending = new AtomicBoolean();

	private volatile boolean ended;

	private volatile boolean closed;

	private Subscriber<? super ByteBuf> subscriber;

	private long demand;

	private boolean draining;

	/**
	 * Creates a stream.
	 * @param channel the connection it is written to
	 * @param limit how many bytes may wait for the reader
	 */
	public EventStream(Channel channel, long limit) {
		if (limit <= 0) {
			throw new IllegalArgumentException("limit must be positive, was " + limit);
		}
		this.channel = channel;
		this.limit = limit;
	}

	/**
	 * Sends bytes without waiting.
	 * @param bytes the bytes, which must not be changed any more
	 * @return false if the stream is closed, which it also is once more bytes wait than
	 * the limit
	 */
	public boolean send(byte[] bytes) {
		if (this.closed || this.ended) {
			return false;
		}
		if (this.waitingBytes.addAndGet(bytes.length) > this.limit) {
			// A reader that stopped reading would otherwise make this process hold the
			// rest of its answer. It would show as a heap that grows with the number of
			// stalled callers. The caller can resume at an offset.
			abort();
			return false;
		}
		this.waiting.add(bytes);
		scheduleDrain();
		return true;
	}

	/**
	 * Ends the stream after what was sent.
	 */
	public void end() {
		this.ended = true;
		scheduleDrain();
	}

	/**
	 * Closes the connection; what waits is dropped.
	 */
	public void abort() {
		this.closed = true;
		this.channel.close();
		scheduleDrain();
	}

	@Override
	public void subscribe(Subscriber<? super ByteBuf> newSubscriber) {
		this.subscriber = newSubscriber;
		newSubscriber.onSubscribe(this);
	}

	@Override
	public void request(long count) {
		this.demand = Math.max(this.demand, this.demand + count);
		drain();
	}

	@Override
	public void cancel() {
		this.closed = true;
		this.waiting.clear();
	}

	private void scheduleDrain() {
		if (this.drainPending.compareAndSet(false, true)) {
			this.channel.eventLoop().execute(() -> {
				this.drainPending.set(false);
				drain();
			});
		}
	}

	private void drain() {
		if (this.draining || this.subscriber == null) {
			return;
		}
		this.draining = true;
		while (this.demand > 0 && !this.closed && !this.waiting.isEmpty()) {
			this.demand--;
			this.subscriber.onNext(takeAll());
		}
		this.draining = false;
		if (this.closed) {
			this.waiting.clear();
		}
		else if (this.ended && this.waiting.isEmpty()) {
			this.closed = true;
			this.subscriber.onComplete();
		}
	}

	private ByteBuf takeAll() {
		ByteBuf first = take();
		if (this.waiting.isEmpty()) {
			return first;
		}
		CompositeByteBuf all = Unpooled.compositeBuffer(Integer.MAX_VALUE);
		all.addComponent(true, first);
		while (!this.waiting.isEmpty()) {
			all.addComponent(true, take());
		}
		return all;
	}

	private ByteBuf take() {
		byte[] bytes = this.waiting.remove();
		this.waitingBytes.addAndGet(-bytes.length);
		return Unpooled.wrappedBuffer(bytes);
	}

}
