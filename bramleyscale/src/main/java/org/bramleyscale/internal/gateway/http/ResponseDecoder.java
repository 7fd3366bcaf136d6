package org.bramleyscale.internal.gateway.http;

import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Decodes the responses on one connection to an endpoint or to the platform's store.
 *
 * <p>
 * Invariants: a head is decoded only once all of it has arrived and only if its bytes are
 * those of one response; until then its bytes count as unaccounted for, as do all others
 * that belong to no whole response; nothing is passed on of bytes that hold the head of
 * another response to a request on this connection. Confined to the loop's thread.
 */
final class ResponseDecoder extends HttpResponseDecoder {

	private static final int MAX_INITIAL_LINE_LENGTH = 8_192;

	private static final int MAX_HEADER_SIZE = 65_536;

	private static final int MAX_CHUNK_SIZE = 16_384;

	private static final int FIRST_FINAL_STATUS = 200;

	private final JoinedResponseDetector joined = new JoinedResponseDetector();

	private ChunkFramingCheck chunks;

	private boolean headOnly;

	private boolean betweenResponses = true;

	private boolean corrupt;

	private int searched;

	private int lineLength;

	ResponseDecoder() {
		super(MAX_INITIAL_LINE_LENGTH, MAX_HEADER_SIZE, MAX_CHUNK_SIZE);
	}

	/**
	 * Notes a request that is sent on the connection.
	 * @param id its id, or empty
	 * @param asksForHead whether its response has no body
	 */
	void requestSent(String id, boolean asksForHead) {
		this.joined.add(id);
		this.headOnly = asksForHead;
	}

	/**
	 * Whether each byte that was read belongs to a whole response.
	 * @return false within a response, and if other bytes were read
	 */
	boolean allAccounted() {
		return this.betweenResponses && unaccountedBytes() == 0;
	}

	/**
	 * Returns the number of bytes read that aren't decoded, such as a part of a head.
	 * @return the number
	 */
	int unaccountedBytes() {
		return actualReadableBytes();
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
		if (this.corrupt) {
			bytes.skipBytes(bytes.readableBytes());
			return;
		}
		if (this.betweenResponses) {
			if (headArrived(bytes)) {
				decodeHead(context, bytes, decoded);
			}
			return;
		}
		int start = bytes.readerIndex();
		super.decode(context, bytes, decoded);
		noteEnd(decoded);
		int length = bytes.readerIndex() - start;
		if (this.joined.finds(bytes, start, length) || (this.betweenResponses && this.joined.continuesIn(bytes))) {
			discard(decoded);
			fail("a second response within the body of the first");
		}
		if (this.chunks != null && !this.chunks.accepts(bytes, start, length)) {
			discard(decoded);
			fail("a chunk that isn't exact");
		}
	}

	private static void discard(List<Object> decoded) {
		decoded.forEach(ReferenceCountUtil::release);
		decoded.clear();
	}

	private void decodeHead(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
		this.betweenResponses = false;
		this.joined.reset();
		super.decode(context, bytes, decoded);
		this.chunks = (decoded.size() == 1 && decoded.get(0) instanceof HttpResponse head
				&& HttpUtil.isTransferEncodingChunked(head)) ? new ChunkFramingCheck() : null;
		noteEnd(decoded);
	}

	private void noteEnd(List<Object> decoded) {
		this.betweenResponses = !decoded.isEmpty() && decoded.get(decoded.size() - 1) instanceof LastHttpContent;
	}

	@Override
	protected boolean isContentAlwaysEmpty(HttpMessage message) {
		boolean isFinal = ((HttpResponse) message).status().code() >= FIRST_FINAL_STATUS;
		return (isFinal && this.headOnly) || super.isContentAlwaysEmpty(message);
	}

	private boolean headArrived(ByteBuf bytes) {
		int length = headLength(bytes);
		if (length < 0) {
			if (bytes.readableBytes() > MAX_INITIAL_LINE_LENGTH + MAX_HEADER_SIZE) {
				fail("head too large");
			}
			return false;
		}
		Optional<String> fault = ResponseHeadCheck.faultOf(bytes, bytes.readerIndex(), length);
		fault.ifPresent(this::fail);
		return true;
	}

	/**
	 * Searches the empty line that ends a head, from where the last search has stopped.
	 * @param bytes the bytes since the last response
	 * @return the length of the head, or -1 if its end hasn't arrived
	 */
	private int headLength(ByteBuf bytes) {
		while (this.searched < bytes.readableBytes()) {
			byte value = bytes.getByte(bytes.readerIndex() + this.searched++);
			if (value == '\n' && this.lineLength == 0) {
				int length = this.searched;
				this.searched = 0;
				return length;
			}
			if (value == '\n') {
				this.lineLength = 0;
			}
			else if (value != '\r') {
				this.lineLength++;
			}
		}
		return -1;
	}

	private void fail(String fault) {
		this.corrupt = true;
		throw new CorruptedFrameException(fault);
	}

}
