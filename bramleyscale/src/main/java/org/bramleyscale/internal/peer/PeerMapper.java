package org.bramleyscale.internal.peer;

import java.io.IOException;
import java.time.Duration;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonAutoDetect;
import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.PropertyAccessor;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.KeyDeserializer;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.deser.std.StdScalarDeserializer;
import com.fasterxml.jackson.databind.introspect.Annotated;
import com.fasterxml.jackson.databind.introspect.JacksonAnnotationIntrospector;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.StdScalarSerializer;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ModelName;
import org.bramleyscale.RequestId;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.msgpack.jackson.dataformat.MessagePackFactory;

/**
 * Creates the Jackson mapper of the peer protocol.
 *
 * <p>
 * Records are written as arrays, ids as strings and durations as integer nanoseconds.
 */
final class PeerMapper {

	private PeerMapper() {
	}

	static ObjectMapper create() {
		ObjectMapper mapper = new ObjectMapper(new MessagePackFactory());
		mapper.setAnnotationIntrospector(new RecordsAsArrays());
		mapper.registerModule(new Jdk8Module());
		mapper.registerModule(ids());
		mapper.registerModule(durations());
		mapper.setVisibility(PropertyAccessor.IS_GETTER, JsonAutoDetect.Visibility.NONE);
		mapper.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS);
		mapper.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
		return mapper;
	}

	private static SimpleModule ids() {
		SimpleModule module = new SimpleModule("ids");
		addId(module, VmId.class, VmId::new);
		addId(module, DataCentre.class, DataCentre::new);
		addId(module, EndpointId.class, EndpointId::new);
		addId(module, ClientAccountId.class, ClientAccountId::new);
		addId(module, ModelName.class, ModelName::new);
		addId(module, ServiceName.class, ServiceName::new);
		addId(module, Incarnation.class, Incarnation::parse);
		addId(module, RequestId.class, RequestId::parse);
		return module;
	}

	private static <T> void addId(SimpleModule module, Class<T> type, Function<String, T> parser) {
		module.addSerializer(type, ToStringSerializer.instance);
		module.addKeySerializer(type, new IdKeySerializer());
		module.addDeserializer(type, new IdDeserializer<>(type, parser));
		module.addKeyDeserializer(type, new IdKeyDeserializer(parser));
	}

	private static SimpleModule durations() {
		SimpleModule module = new SimpleModule("durations");
		module.addSerializer(Duration.class, new DurationSerializer());
		module.addDeserializer(Duration.class, new DurationDeserializer());
		return module;
	}

	/**
	 * Selects the array format for each record.
	 */
	private static final class RecordsAsArrays extends JacksonAnnotationIntrospector {

		private static final long serialVersionUID = 1L;

		@Override
		public JsonFormat.Value findFormat(Annotated annotated) {
			if (annotated.getRawType().isRecord()) {
				return JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY);
			}
			return super.findFormat(annotated);
		}

	}

	/**
	 * Parses an id from its string form.
	 *
	 * @param <T> the type of id
	 */
	private static final class IdDeserializer<T> extends FromStringDeserializer<T> {

		private static final long serialVersionUID = 1L;

		private final transient Function<String, T> parser;

		private IdDeserializer(Class<T> type, Function<String, T> parser) {
			super(type);
			this.parser = parser;
		}

		@Override
		protected T _deserialize(String value, DeserializationContext context) {
			return this.parser.apply(value);
		}

	}

	/**
	 * Writes an id as a map key.
	 */
	private static final class IdKeySerializer extends JsonSerializer<Object> {

		@Override
		public void serialize(Object value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeFieldName(value.toString());
		}

	}

	/**
	 * Parses an id from a map key.
	 */
	private static final class IdKeyDeserializer extends KeyDeserializer {

		private final Function<String, ?> parser;

		private IdKeyDeserializer(Function<String, ?> parser) {
			this.parser = parser;
		}

		@Override
		public Object deserializeKey(String key, DeserializationContext context) {
			return this.parser.apply(key);
		}

	}

	/**
	 * Writes a duration as integer nanoseconds.
	 */
	private static final class DurationSerializer extends StdScalarSerializer<Duration> {

		private static final long serialVersionUID = 1L;

		private DurationSerializer() {
			super(Duration.class);
		}

		@Override
		public void serialize(Duration value, JsonGenerator generator, SerializerProvider provider) throws IOException {
			generator.writeNumber(value.toNanos());
		}

	}

	/**
	 * Reads a duration from integer nanoseconds.
	 */
	private static final class DurationDeserializer extends StdScalarDeserializer<Duration> {

		private static final long serialVersionUID = 1L;

		private DurationDeserializer() {
			super(Duration.class);
		}

		@Override
		public Duration deserialize(JsonParser parser, DeserializationContext context) throws IOException {
			return Duration.ofNanos(parser.getLongValue());
		}

	}

}
