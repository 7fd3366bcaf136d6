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
 * Writes peer messages as MessagePack and reads them back.
 *
 * <p>
 * A frame's payload is the array {@code [protocolVersion, code, body]}; the body is the
 * message's components in order. Components may be appended to a message without a new
 * protocol version: a reader ignores what it doesn't know and takes null or zero for what
 * is missing. A large payload travels packed, as {@code [protocolVersion, 0, [length,
 * packed payload]]}. Immutable and safe for use by multiple threads.
 */
public final class MessageCodec {

	/** The version of the frames that this code writes and reads. */
	public static final int PROTOCOL_VERSION = 1;

	/** The longest payload that is unpacked; the longest that is sent. */
	static final int LARGEST_UNPACKED = TcpPeerSettings.DEFAULT_LARGEST_FRAME;

	private static final int FRAME_PARTS = 3;

	/** No message of the catalog has this code. */
	private static final int PACKED = 0;

	private final MessageCatalog catalog;

	private final ObjectMapper mapper = PeerMapper.create();

	public MessageCodec(MessageCatalog catalog) {
		this.catalog = catalog;
	}

	MessageCatalog catalog() {
		return this.catalog;
	}

	/**
	 * Writes a message.
	 * @param message a message whose type is in the catalog
	 * @return the payload of one frame, without its length
	 */
	public byte[] encode(PeerMessage message) {
		byte[] payload = encodePlain(message);
		// What the receiver wouldn't unpack is left as it is, for the sender to refuse.
		boolean packs = payload.length >= FramePacking.SMALLEST && payload.length <= LARGEST_UNPACKED;
		return packs ? packed(payload) : payload;
	}

	private static byte[] packed(byte[] payload) {
		byte[] packed = FramePacking.pack(payload);
		try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
			packer.packArrayHeader(FRAME_PARTS).packInt(PROTOCOL_VERSION).packInt(PACKED);
			packer.packArrayHeader(2).packInt(payload.length);
			packer.packBinaryHeader(packed.length).writePayload(packed);
			byte[] frame = packer.toByteArray();
			return (frame.length < payload.length) ? frame : payload;
		}
		catch (IOException ex) {
			throw new UncheckedIOException("a packed frame can't be written", ex);
		}
	}

	private byte[] encodePlain(PeerMessage message) {
		int code = this.catalog.code(message.getClass());
		ByteArrayOutputStream bytes = new ByteArrayOutputStream();
		try (JsonGenerator generator = this.mapper.createGenerator(bytes)) {
			generator.writeStartArray(null, FRAME_PARTS);
			generator.writeNumber(PROTOCOL_VERSION);
			generator.writeNumber(code);
			this.mapper.writeValue(generator, message);
			generator.writeEndArray();
		}
		catch (IOException ex) {
			throw new UncheckedIOException("peer message " + message.getClass().getName() + " can't be written", ex);
		}
		return bytes.toByteArray();
	}

	/**
	 * Reads a message.
	 * @param peer the sender, for the error
	 * @param payload the payload of one frame, without its length
	 * @return the message, or empty if this version doesn't know its code
	 * @throws PeerProtocolException if the payload isn't a frame of this protocol
	 */
	public Optional<PeerMessage> decode(String peer, byte[] payload) throws PeerProtocolException {
		return decode(peer, payload, true);
	}

	/**
	 * Reads a message of a sender that isn't proven yet, which may not make this side
	 * unpack anything.
	 * @param peer the sender, for the error
	 * @param payload the payload of one frame, without its length
	 * @return the message, or empty if this version doesn't know its code
	 * @throws PeerProtocolException if the payload isn't a plain frame of this protocol
	 */
	Optional<PeerMessage> decodeUnproven(String peer, byte[] payload) throws PeerProtocolException {
		return decode(peer, payload, false);
	}

	private Optional<PeerMessage> decode(String peer, byte[] payload, boolean unpacks) throws PeerProtocolException {
		checkLengths(peer, payload);
		byte[] inner;
		try (JsonParser parser = this.mapper.createParser(payload)) {
			int code = code(peer, parser);
			if (code != PACKED || !unpacks) {
				return message(peer, parser, code);
			}
			inner = unpacked(peer, parser);
		}
		catch (IOException | RuntimeException ex) {
			throw malformed(peer, ex.toString());
		}
		// Not before the parser is closed: those of one thread share their buffers.
		return decode(peer, inner, false);
	}

	private static int code(String peer, JsonParser parser) throws IOException, PeerProtocolException {
		expect(peer, parser.nextToken() == JsonToken.START_ARRAY, "a frame must be an array");
		int version = nextInt(peer, parser);
		if (version != PROTOCOL_VERSION) {
			throw new PeerProtocolException(PeerProtocolException.Kind.WRONG_VERSION, peer,
					"protocol version must be " + PROTOCOL_VERSION + ", was " + version);
		}
		return nextInt(peer, parser);
	}

	private Optional<PeerMessage> message(String peer, JsonParser parser, int code)
			throws IOException, PeerProtocolException {
		Optional<Class<? extends PeerMessage>> type = this.catalog.type(code);
		if (type.isEmpty()) {
			return Optional.empty();
		}
		expect(peer, parser.nextToken() == JsonToken.START_ARRAY, "a message must be an array");
		PeerMessage message = this.mapper.readValue(parser, type.get());
		expect(peer, parser.nextToken() == JsonToken.END_ARRAY, "a frame must have three parts");
		return Optional.of(message);
	}

	private static byte[] unpacked(String peer, JsonParser parser) throws IOException, PeerProtocolException {
		expect(peer, parser.nextToken() == JsonToken.START_ARRAY, "a packed payload must be an array");
		int length = nextInt(peer, parser);
		expect(peer, length > 0 && length <= LARGEST_UNPACKED,
				"a packed payload must have 1 to " + LARGEST_UNPACKED + " bytes, was " + length);
		expect(peer, parser.nextToken() == JsonToken.VALUE_EMBEDDED_OBJECT, "a packed payload must have bytes");
		byte[] packed = parser.getBinaryValue();
		expect(peer, parser.nextToken() == JsonToken.END_ARRAY, "a packed payload must have a length and bytes");
		expect(peer, parser.nextToken() == JsonToken.END_ARRAY, "a frame must have three parts");
		try {
			return FramePacking.unpack(packed, length);
		}
		catch (DataFormatException ex) {
			throw malformed(peer, ex.toString());
		}
	}

	/**
	 * Refuses a payload whose inner lengths exceed it. The unpacker allocates what a
	 * binary value's header claims before it reads the value, so that five bytes from a
	 * stranger could claim two gigabytes and end the daemon with an OutOfMemoryError.
	 * Skipping the value allocates nothing.
	 * @param peer the sender, for the error
	 * @param payload the payload
	 * @throws PeerProtocolException if a length exceeds the payload
	 */
	private static void checkLengths(String peer, byte[] payload) throws PeerProtocolException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(payload)) {
			unpacker.skipValue();
			expect(peer, unpacker.getTotalReadBytes() == payload.length, "a frame must be one value");
		}
		catch (IOException | MessagePackException ex) {
			throw malformed(peer, ex.toString());
		}
	}

	private static int nextInt(String peer, JsonParser parser) throws IOException, PeerProtocolException {
		expect(peer, parser.nextToken() == JsonToken.VALUE_NUMBER_INT, "version and code must be whole numbers");
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
