package org.bramleyscale.internal.gateway.http;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.CorruptedFrameException;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.TooLongFrameException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

/**
 * Decodes the requests on one connection that this daemon has accepted.
 *
 * <p>
 * Invariants: a head is decoded only once all of it has arrived; a request whose bytes
 * can be read in more than one way, and whatever follows it, is decoded as one invalid
 * message. Confined to the loop's thread.
 */
final class ServerRequestDecoder extends HttpRequestDecoder {

	private final int maxInitialLineLength;

	private final int maxHeaderSize;

	private boolean betweenRequests = true;

	private boolean corrupt;

	private ChunkFramingCheck chunks;

	/** The bytes of chunks that are checked and not decoded yet. */
	private int checked;

	private int searched;

	private int lineLength;

	private boolean inHeaders;

	private int size;

	private boolean carriageReturn;

	/**
	 * Creates a decoder.
	 * @param maxInitialLineLength the largest length of a request line, in bytes
	 * @param maxHeaderSize the largest size of all fields together, in bytes
	 * @param maxChunkSize the largest part of a body that is decoded at once, in bytes
	 */
	ServerRequestDecoder(int maxInitialLineLength, int maxHeaderSize, int maxChunkSize) {
		super(maxInitialLineLength, maxHeaderSize, maxChunkSize);
		this.maxInitialLineLength = maxInitialLineLength;
		this.maxHeaderSize = maxHeaderSize;
	}

	/**
	 * Whether bytes of a request have arrived that isn't decoded at all.
	 * @return false within a request, and if no byte was read since the last one
	 */
	boolean holdsPartOfHead() {
		return this.betweenRequests && !this.corrupt && actualReadableBytes() > 0;
	}

	@Override
	protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> decoded) throws Exception {
		if (this.corrupt) {
			bytes.skipBytes(bytes.readableBytes());
			return;
		}
		if (this.betweenRequests ? !headArrived(bytes, decoded) : !chunksAreExact(bytes, decoded)) {
			return;
		}
		int readable = bytes.readableBytes();
		super.decode(context, bytes, decoded);
		if (this.betweenRequests) {
			this.chunks = startsChunks(decoded) ? new ChunkFramingCheck() : null;
			this.checked = 0;
		}
		else {
			this.checked -= readable - bytes.readableBytes();
		}
		this.betweenRequests = false;
		if (!decoded.isEmpty()) {
			HttpObject last = (HttpObject) decoded.get(decoded.size() - 1);
			this.corrupt = last.decoderResult().isFailure();
			this.betweenRequests = last instanceof LastHttpContent;
		}
	}

	/** Called if the body of the current request won't be sent. */
	@Override
	public void reset() {
		super.reset();
		this.betweenRequests = true;
	}

	private static boolean startsChunks(List<Object> decoded) {
		return !decoded.isEmpty() && decoded.get(0) instanceof HttpRequest request
				&& HttpUtil.isTransferEncodingChunked(request);
	}

	private boolean headArrived(ByteBuf bytes, List<Object> decoded) {
		skipEmptyLines(bytes);
		int length = headLength(bytes);
		if (length < 0) {
			if (this.size > (this.inHeaders ? this.maxHeaderSize : this.maxInitialLineLength)) {
				reject(bytes, decoded, new TooLongFrameException("head too large"));
			}
			return false;
		}
		String head = bytes.toString(bytes.readerIndex(), length, StandardCharsets.ISO_8859_1);
		Optional<String> fault = RequestHeadCheck.faultOf(head);
		fault.ifPresent((text) -> reject(bytes, decoded, new CorruptedFrameException(text)));
		return fault.isEmpty();
	}

	/**
	 * Skips empty lines, which some callers send after a body.
	 * @param bytes the bytes since the last request
	 */
	private void skipEmptyLines(ByteBuf bytes) {
		while (this.searched == 0 && bytes.readableBytes() > 1 && bytes.getByte(bytes.readerIndex()) == '\r'
				&& bytes.getByte(bytes.readerIndex() + 1) == '\n') {
			bytes.skipBytes(2);
		}
	}

	/**
	 * Searches the empty line that ends a head, from where the last search has stopped.
	 * @param bytes the bytes since the last request
	 * @return the length of the head, or -1 if its end hasn't arrived
	 */
	private int headLength(ByteBuf bytes) {
		if (bytes.readableBytes() == 1 && bytes.getByte(bytes.readerIndex()) == '\r') {
			return -1;
		}
		while (this.searched < bytes.readableBytes()) {
			byte value = bytes.getByte(bytes.readerIndex() + this.searched++);
			if (value == '\n' && this.lineLength == 0) {
				int length = this.searched;
				this.searched = 0;
				this.size = 0;
				this.inHeaders = false;
				this.carriageReturn = false;
				return length;
			}
			if (value == '\n') {
				this.size = this.inHeaders ? this.size - (this.carriageReturn ? 1 : 0) : 0;
				this.inHeaders = true;
				this.lineLength = 0;
			}
			else {
				this.size++;
				this.lineLength += (value != '\r') ? 1 : 0;
			}
			this.carriageReturn = value == '\r';
		}
		return -1;
	}

	private void reject(ByteBuf bytes, List<Object> decoded, Exception cause) {
		this.corrupt = true;
		bytes.skipBytes(bytes.readableBytes());
		HttpRequest invalid = new DefaultFullHttpRequest(HttpVersion.HTTP_1_0, HttpMethod.GET, "/bad-request");
		invalid.setDecoderResult(DecoderResult.failure(cause));
		decoded.add(invalid);
	}

	private boolean chunksAreExact(ByteBuf bytes, List<Object> decoded) {
		if (this.chunks == null) {
			return true;
		}
		int length = bytes.readableBytes() - this.checked;
		if (this.chunks.accepts(bytes, bytes.readerIndex() + this.checked, length)) {
			this.checked = bytes.readableBytes();
			return true;
		}
		this.corrupt = true;
		bytes.skipBytes(bytes.readableBytes());
		LastHttpContent invalid = new DefaultLastHttpContent();
		invalid.setDecoderResult(DecoderResult.failure(new CorruptedFrameException("a chunk that isn't exact")));
		decoded.add(invalid);
		return false;
	}

}
