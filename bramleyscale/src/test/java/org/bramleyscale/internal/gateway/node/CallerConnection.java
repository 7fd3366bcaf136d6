package org.bramleyscale.internal.gateway.node;

import java.nio.channels.ClosedChannelException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOutboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.bramleyscale.internal.gateway.http.CallerServer;

/**
 * A caller's connection in memory. It may stop reading, so that what the daemon writes
 * isn't on the wire. Confined to the test's thread.
 */
final class CallerConnection {

	/** The requests sent, in order. */
	final List<SentRequest> sent = new ArrayList<>();

	private final Stall stall = new Stall();

	private final EmbeddedChannel channel = new EmbeddedChannel(this.stall);

	private final EmbeddedChannel decoder = new EmbeddedChannel(new HttpResponseDecoder());

	private int answered;

	private boolean closeAnnounced;

	private boolean hasStalled;

	CallerConnection(CallerServer callers) {
		callers.accept(this.channel);
	}

	boolean open() {
		return this.channel.isOpen();
	}

	/**
	 * Whether the caller may send another request.
	 * @return false once the daemon has said that it closes the connection
	 */
	boolean usable() {
		return open() && !this.closeAnnounced;
	}

	/**
	 * Whether the caller doesn't read, or didn't when the connection was closed.
	 * @return true if what the daemon wrote may never have reached it
	 */
	boolean stalled() {
		return this.stall.on || this.stall.dropped;
	}

	/**
	 * Whether the caller has ever stopped reading.
	 * @return true if what the daemon wrote may have reached it late
	 */
	boolean hasStalled() {
		return this.hasStalled;
	}

	/**
	 * Whether the response to the request ahead of a pipelined one is incomplete.
	 * @param request the request
	 * @return false if no request is ahead of it
	 */
	boolean endedAhead(SentRequest request) {
		int index = this.sent.indexOf(request);
		return request.pipelined && this.sent.get(index - 1).completedAt == SentRequest.NEVER;
	}

	SentRequest current() {
		return this.sent.get(Math.min(this.answered, this.sent.size() - 1));
	}

	void send(String text) {
		if (open()) {
			this.channel.writeInbound(Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
		}
	}

	void stopReading() {
		this.stall.on = true;
		this.hasStalled = true;
	}

	void resumeReading() {
		this.stall.release();
	}

	void close() {
		this.channel.close();
		this.channel.runPendingTasks();
	}

	/**
	 * Reads what has arrived.
	 * @param now the time, ns
	 */
	void read(long now) {
		this.channel.runPendingTasks();
		for (ByteBuf bytes = this.channel.readOutbound(); bytes != null; bytes = this.channel.readOutbound()) {
			this.decoder.writeInbound(bytes);
		}
		for (Object message = this.decoder.readInbound(); message != null; message = this.decoder.readInbound()) {
			receive(message, now);
			ReferenceCountUtil.release(message);
		}
	}

	private void receive(Object message, long now) {
		if (this.answered == this.sent.size()) {
			throw new AssertionError("A response without a request: " + message + " after " + this.sent);
		}
		SentRequest request = this.sent.get(this.answered);
		if (message instanceof HttpResponse head) {
			request.status = head.status().code();
			this.closeAnnounced = "close"
				.equals(head.headers().get(HttpHeaderNames.CONNECTION, "").toLowerCase(Locale.ROOT));
		}
		if (message instanceof HttpContent content) {
			request.body += content.content().toString(StandardCharsets.UTF_8);
		}
		if (message instanceof LastHttpContent) {
			request.completedAt = now;
			this.answered++;
		}
	}

	/**
	 * A request and what its caller has received.
	 */
	static final class SentRequest {

		static final long NEVER = Long.MAX_VALUE;

		final String id;

		final String path;

		final long headAt;

		final long deadline;

		/** When the daemon has the whole head. */
		long readAt = NEVER;

		/** When the daemon has the whole body, too. */
		long wholeAt = NEVER;

		int status;

		String body = "";

		long completedAt = NEVER;

		/** When its caller gave up or found the connection closed. */
		long leftAt = NEVER;

		long closedAt = NEVER;

		boolean stalled;

		/** Whether it was sent right behind another one. */
		boolean pipelined;

		SentRequest(String id, String path, long headAt, long deadline) {
			this.id = id;
			this.path = path;
			this.headAt = headAt;
			this.deadline = deadline;
		}

		boolean open() {
			return this.completedAt == NEVER && this.leftAt == NEVER && this.closedAt == NEVER;
		}

		@Override
		public String toString() {
			return this.id + " " + this.path + (this.pipelined ? ", pipelined" : "") + ", head " + millis(this.headAt)
					+ ", whole " + millis(this.wholeAt) + ", deadline " + millis(this.deadline) + ", status "
					+ this.status + " " + this.body.strip().replace("\n", " ") + ", complete "
					+ millis(this.completedAt) + ", left " + millis(this.leftAt) + ", closed " + millis(this.closedAt)
					+ (this.stalled ? ", stalled" : "");
		}

		private static String millis(long nanos) {
			return (nanos == NEVER) ? "never" : String.valueOf(nanos / 1_000_000);
		}

	}

	/**
	 * Holds back what is written while the caller doesn't read.
	 */
	private static final class Stall extends ChannelOutboundHandlerAdapter {

		private final Deque<Object[]> held = new ArrayDeque<>();

		private ChannelHandlerContext context;

		private boolean on;

		private boolean dropped;

		@Override
		public void handlerAdded(ChannelHandlerContext added) {
			this.context = added;
		}

		@Override
		public void write(ChannelHandlerContext writer, Object message, ChannelPromise promise) {
			if (this.on) {
				this.held.add(new Object[] { message, promise });
			}
			else {
				writer.write(message, promise);
			}
		}

		@Override
		public void close(ChannelHandlerContext closer, ChannelPromise promise) {
			drop();
			closer.close(promise);
		}

		private void release() {
			this.on = false;
			while (!this.held.isEmpty()) {
				Object[] write = this.held.poll();
				this.context.writeAndFlush(write[0], (ChannelPromise) write[1]);
			}
		}

		private void drop() {
			this.dropped |= !this.held.isEmpty();
			while (!this.held.isEmpty()) {
				Object[] write = this.held.poll();
				ReferenceCountUtil.release(write[0]);
				((ChannelPromise) write[1]).tryFailure(new ClosedChannelException());
			}
		}

	}

}
