package org.bramleyscale.internal.configuration;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JavaType;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.deser.std.StdDelegatingDeserializer;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdDelegatingSerializer;
import com.fasterxml.jackson.databind.type.TypeFactory;
import com.fasterxml.jackson.databind.util.StdConverter;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * The MessagePack form of entries, heads and snapshots.
 *
 * <p>
 * Invariants: each record is an array of its components in order, new components come
 * last, and a reader ignores components it doesn't know; so daemons of two versions can
 * run side by side. Equal values have equal bytes. Safe for use by multiple threads.
 */
final class ConfigurationCodec {

	private static final List<Class<?>> RECORDS = List.of(VmEntry.class, ModelEntry.class, ServiceEntry.class,
			EndpointEntry.class, AccountRule.class, UrgentService.class, EncodedEntry.class, EncodedChange.class,
			HistoryStep.class, SnapshotBody.class, Head.class, PartReference.class, AcceptedChange.class,
			ContentHash.class);

	private static final ObjectMapper MAPPER = mapper();

	private ConfigurationCodec() {
	}

	static byte[] encode(Object value) {
		try {
			return MAPPER.writeValueAsBytes(value);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static <T> T decode(byte[] bytes, Class<T> type) throws IOException {
		return read(bytes, MAPPER.constructType(type));
	}

	static List<EncodedEntry> decodeEntries(byte[] bytes) throws IOException {
		return read(bytes, MAPPER.getTypeFactory().constructCollectionType(List.class, EncodedEntry.class));
	}

	private static <T> T read(byte[] bytes, JavaType type) throws IOException {
		try {
			checkLengths(bytes);
			T value = MAPPER.readValue(bytes, type);
			if (value == null) {
				throw new IOException("content is empty");
			}
			return value;
		}
		catch (RuntimeException ex) {
			throw new IOException("content is malformed: " + ex, ex);
		}
	}

	// The unpacker allocates what the header of a binary value claims before it reads the
	// value: a few damaged bytes could claim two gigabytes and end the daemon with an
	// OutOfMemoryError. Skipping allocates nothing and fails on such a claim.
	private static void checkLengths(byte[] bytes) throws IOException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
			unpacker.skipValue();
		}
	}

	/**
	 * Reads one entry.
	 * @param type the code of the entry's type
	 * @param bytes the entry
	 * @return the entry, or empty if only later versions of the daemon know the type
	 * @throws IOException if the bytes are no such entry
	 */
	static Optional<ConfigurationEntry> decodeEntry(int type, byte[] bytes) throws IOException {
		Optional<EntryType> known = EntryType.ofCode(type);
		return known.isEmpty() ? Optional.empty() : Optional.of(decode(bytes, known.get().entryClass()));
	}

	private static ObjectMapper mapper() {
		ObjectMapper mapper = new MessagePackMapper();
		mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		RECORDS.forEach(
				(type) -> mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY)));
		SimpleModule module = new SimpleModule();
		add(module, ClientAccountId.class, String.class, ClientAccountId::value, ClientAccountId::new);
		add(module, DataCentre.class, String.class, DataCentre::value, DataCentre::new);
		add(module, EndpointId.class, String.class, EndpointId::value, EndpointId::new);
		add(module, ModelName.class, String.class, ModelName::value, ModelName::new);
		add(module, ServiceName.class, String.class, ServiceName::value, ServiceName::new);
		add(module, VmId.class, String.class, VmId::value, VmId::new);
		add(module, Duration.class, Long.class, Duration::toMillis, Duration::ofMillis);
		return mapper.registerModule(module);
	}

	private static <T, P> void add(SimpleModule module, Class<T> type, Class<P> plain, Function<T, P> writer,
			Function<P, T> reader) {
		module.addSerializer(type, new StdDelegatingSerializer(type, converter(type, plain, writer)));
		module.addDeserializer(type, new StdDelegatingDeserializer<>(converter(plain, type, reader)));
	}

	private static <A, B> StdConverter<A, B> converter(Class<A> from, Class<B> to, Function<A, B> function) {
		return new StdConverter<>() {
			@Override
			public B convert(A value) {
				return function.apply(value);
			}

			@Override
			public JavaType getInputType(TypeFactory factory) {
				return factory.constructType(from);
			}

			@Override
			public JavaType getOutputType(TypeFactory factory) {
				return factory.constructType(to);
			}
		};
	}

}
