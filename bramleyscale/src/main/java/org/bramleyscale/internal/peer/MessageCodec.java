package org.bramleyscale.internal.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Optional;
import java.util.zip.DataFormatException;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes peer messages as MessagePack and decodes them.
 *
 * <p>
 * A frame's payload is the array {@code [protocolVersion, code, body]}; the body is the
 * message's components in order. Components may be appended to a message without a new
 * protocol version: a decoder ignores unknown trailing components and takes null or zero
 * for missing ones. A large payload is sent compressed, as {@code [protocolVersion, 0,
 * [length, compressed payload]]}. Immutable and safe for use by multiple threads.
 */
public final class MessageCodec {

	/** The version of the frames that this codec encodes and decodes. */
	public static final int PROTOCOL_VERSION = 1;

	/** The limit on a decompressed payload, and on a payload that is sent. */
	static final int MAX_UNCOMPRESSED_BYTES = TcpPeerSettings.DEFAULT_MAX_FRAME_BYTES;

	private static final int FRAME_ELEMENTS = 3;

	/** The code of a compressed frame; not assigned to any message of the catalog. */
	private static final int COMPRESSED_CODE = 0;

	private final MessageCatalog catalog;

	private final ObjectMapper mapper = PeerMapper.create();

	public MessageCodec(MessageCatalog catalog) {
		this.catalog = catalog;
	}

	MessageCatalog catalog() {
		return this.catalog;
	}

	/**
	 * Encodes a message.
	 * @param message a message whose type is in the catalog
	 * @return the payload of one frame, without its length
	 */
	public byte[] encode(PeerMessage message) {
		byte[] payload = encodeUncompressed(message);
		// A payload over the limit stays uncompressed, so that the sender refuses it.
		boolean compressible = payload.length >= PayloadCompression.MIN_PAYLOAD_BYTES
				&& payload.length <= MAX_UNCOMPRESSED_BYTES;
		return compressible ? compress(payload) : payload;
	}

	private static byte[] compress(byte[] payload) {
		byte[] compressed = PayloadCompression.compress(payload);
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(FRAME_ELEMENTS).packInt(PROTOCOL_VERSION).packInt(COMPRESSED_CODE);
			packer.packArrayHeader(2).packInt(payload.length);
			packer.packBinaryHeader(compressed.length).writePayload(compressed);
			byte[] frame = packer.toByteArray();
			return (frame.length < payload.length) ? frame : payload;
		}
		catch (IOException ex) {
			throw new UncheckedIOException("compressed frame can't be encoded", ex);
		}
	}

	private byte[] encodeUncompressed(PeerMessage message) {
		int code = this.catalog.code(message.getClass());
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (JsonGenerator generator = this.mapper.createGenerator(bytes)) {
			generator.writeStartArray(null, FRAME_ELEMENTS);
			generator.writeNumber(PROTOCOL_VERSION);
			generator.writeNumber(code);
			this.mapper.writeValue(generator, message);
			generator.writeEndArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("peer message " + message.getClass().getName() + " can't be encoded", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Decodes a message.
	 * @param peer the sender, for error messages
	 * @param payload the payload of one frame, without its length
	 * @return the message, or empty if its code is unknown to this version
	 * @throws PeerProtocolException if the payload isn't a frame of this protocol
	 */
	public Optional<PeerMessage> decode(String peer, byte[] payload) throws PeerProtocolException {
		return decode(peer, payload, true);
	}

	/**
	 * Decodes a message of a sender that isn't authenticated yet. Compressed frames
	 * aren't decompressed, since a small one could expand to megabytes.
	 * @param peer the sender, for error messages
	 * @param payload the payload of one frame, without its length
	 * @return the message, or empty if its code is unknown or the frame is compressed
	 * @throws PeerProtocolException if the payload isn't a frame of this protocol
	 */
	Optional<PeerMessage> decodeUnauthenticated(String peer, byte[] payload) throws PeerProtocolException {
		return decode(peer, payload, false);
	}

	private Optional<PeerMessage> decode(String peer, byte[] payload, boolean allowCompressed)
			throws PeerProtocolException {
		checkLengths(peer, payload);
		byte[] decompressed;
		try (JsonParser parser = this.mapper.createParser(payload)) {
			int code = readCode(peer, parser);
			if (code != COMPRESSED_CODE || !allowCompressed) {
				return readMessage(peer, parser, code);
			}
			decompressed = decompress(peer, parser);
		}
		catch (IOException | RuntimeException ex) {
			throw malformed(peer, ex.toString());
		}
		// Runs only after the parser is closed, since parsers of one thread share
		// buffers.
		return decode(peer, decompressed, false);
	}

	private static int readCode(String peer, JsonParser parser) throws IOException, PeerProtocolException {
		expect(peer, parser.nextToken() == JsonToken.START_ARRAY, "frame must be an array");
		int version = readInt(peer, parser);
		if (version != PROTOCOL_VERSION) {
			throw new PeerProtocolException(PeerProtocolException.Kind.WRONG_VERSION, peer,
					"protocol version must be " + PROTOCOL_VERSION + ", was " + version);
		}
		return readInt(peer, parser);
	}

	private Optional<PeerMessage> readMessage(String peer, JsonParser parser, int code)
			throws IOException, PeerProtocolException {
		Optional<Class<? extends PeerMessage>> type = this.catalog.type(code);
		if (type.isEmpty()) {
			return Optional.empty();
		}
		expect(peer, parser.nextToken() == JsonToken.START_ARRAY, "message body must be an array");
		PeerMessage message = this.mapper.readValue(parser, type.get());
		expect(peer, parser.nextToken() == JsonToken.END_ARRAY, "frame must have three elements");
		return Optional.of(message);
	}

	private static byte[] decompress(String peer, JsonParser parser) throws IOException, PeerProtocolException {
		expect(peer, parser.nextToken() == JsonToken.START_ARRAY, "compressed body must be an array");
		int length = readInt(peer, parser);
		expect(peer, length > 0 && length <= MAX_UNCOMPRESSED_BYTES,
				"compressed payload must expand to 1 to " + MAX_UNCOMPRESSED_BYTES + " bytes, was " + length);
		expect(peer, parser.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT,
				"compressed payload must be a binary value");
		byte[] compressed = parser.getBinaryValue();
		expect(peer, parser.nextToken() == JsonToken.END_ARRAY, "compressed body must have two elements");
		expect(peer, parser.nextToken() == JsonToken.END_ARRAY, "frame must have three elements");
		try {
			return PayloadCompression.decompress(compressed, length);
		}
		catch (DataFormatException ex) {
			throw malformed(peer, ex.toString());
		}
	}

	/**
	 * Rejects a payload whose inner lengths exceed it. The unpacker allocates the length
	 * given in a binary value's header before it reads the value, so that five bytes from
	 * an unauthenticated peer could claim two gigabytes and crash the daemon with an
	 * OutOfMemoryError. Skipping the value allocates nothing.
	 * @param peer the sender, for error messages
	 * @param payload the payload
	 * @throws PeerProtocolException if a length exceeds the payload
	 */
	private static void checkLengths(String peer, byte[] payload) throws PeerProtocolException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
			unpacker.skipValue();
			expect(peer, unpacker.getTotalReadBytes() == payload.length, "frame must be a single value");
		}
		catch (IOException | MessagePackException ex) {
			throw malformed(peer, ex.toString());
		}
	}

	private static int readInt(String peer, JsonParser parser) throws IOException, PeerProtocolException {
		expect(peer, parser.nextToken() == JsonToken.VALUE_NUMBER_INT, "version, code and length must be integers");
		return parser.getIntValue();
	}

	private static void expect(String peer, boolean condition, String message) throws PeerProtocolException {
		if (!condition) {
			throw malformed(peer, message);
		}
	}

	private static PeerProtocolException malformed(String peer, String message) {
		return new PeerProtocolException(PeerProtocolException.Kind.MALFORMED, peer, message);
	}

}
