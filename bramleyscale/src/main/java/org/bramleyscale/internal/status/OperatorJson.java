package org.bramleyscale.internal.status;

import java.util.concurrent.TimeUnit;
import java.util.function.Function;

import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationContext;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.deser.std.FromStringDeserializer;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import com.fasterxml.jackson.datatype.jsr310.JavaTimeModule;
import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.Incarnation;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;

/**
 * The JSON of the operator's HTTP API, for the daemon and for the command line.
 *
 * <p>
 * Ids are written as strings and times in ISO 8601. Safe for use by multiple threads.
 */
public final class OperatorJson {

	private static final ObjectMapper MAPPER = JsonMapper.builder()
		.addModule(new Jdk8Module())
		.addModule(new JavaTimeModule())
		.addModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false))
		.addModule(ids())
		.disable(SerializationFeature.WRITE_DATES_AS_TIMESTAMPS)
		.disable(SerializationFeature.FAIL_ON_EMPTY_BEANS)
		.disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
		.build();

	private OperatorJson() {
	}

	public static String write(Object value) throws JsonProcessingException {
		return MAPPER.writeValueAsString(value);
	}

	public static String writePretty(Object value) throws JsonProcessingException {
		return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(value);
	}

	public static <T> T read(String json, Class<T> type) throws JsonProcessingException {
		return MAPPER.readValue(json, type);
	}

	private static SimpleModule ids() {
		SimpleModule module = new SimpleModule("bramleyscale-ids");
		id(module, VmId.class, VmId::new);
		id(module, EndpointId.class, EndpointId::new);
		id(module, ServiceName.class, ServiceName::new);
		id(module, DataCentre.class, DataCentre::new);
		id(module, Incarnation.class, Incarnation::parse);
		return module;
	}

	private static <T> void id(SimpleModule module, Class<T> type, Function<String, T> parser) {
		module.addSerializer(type, new ToStringSerializer(type));
		module.addDeserializer(type, new IdDeserializer<>(type, parser));
	}

	private static final class IdDeserializer<T> extends FromStringDeserializer<T> {

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

}
