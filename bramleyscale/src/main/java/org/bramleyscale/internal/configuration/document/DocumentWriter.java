package org.bramleyscale.internal.configuration.document;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonSerializer;
import com.fasterxml.jackson.databind.SerializerProvider;
import com.fasterxml.jackson.databind.module.SimpleModule;
import com.fasterxml.jackson.databind.ser.std.ToStringSerializer;
import com.fasterxml.jackson.dataformat.yaml.YAMLGenerator;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.bramleyscale.ClientAccountId;
import org.bramleyscale.DataCentre;
import org.bramleyscale.DurationText;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.ServiceEntry;

/**
 * Writes register and rules as YAML.
 *
 * <p>
 * Stateless and safe for use by multiple threads.
 */
final class DocumentWriter {

	private static final YAMLMapper MAPPER = YAMLMapper.builder()
		.disable(YAMLGenerator.Feature.WRITE_DOC_START_MARKER)
		.enable(YAMLGenerator.Feature.MINIMIZE_QUOTES)
		.enable(YAMLGenerator.Feature.ALWAYS_QUOTE_NUMBERS_AS_STRINGS)
		.enable(YAMLGenerator.Feature.INDENT_ARRAYS_WITH_INDICATOR)
		.addModule(module())
		.addMixIn(AccountRule.class, AccountFields.class)
		.build();

	private DocumentWriter() {
	}

	static String write(Object document) {
		try {
			return MAPPER.writeValueAsString(document);
		}
		catch (JsonProcessingException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	private static SimpleModule module() {
		SimpleModule module = new SimpleModule();
		for (Class<?> type : Set.of(ClientAccountId.class, DataCentre.class, EndpointId.class, ModelName.class,
				ServiceName.class, VmId.class)) {
			module.addSerializer(type, ToStringSerializer.instance);
		}
		addText(module, Duration.class, DurationText::format);
		addText(module, ServiceEntry.Kind.class, (kind) -> kind.name().toLowerCase(Locale.ROOT));
		return module;
	}

	private static <T> void addText(SimpleModule module, Class<T> type, Function<T, String> format) {
		module.addSerializer(type, new JsonSerializer<T>() {
			@Override
			public void serialize(T value, JsonGenerator generator, SerializerProvider provider) throws IOException {
				generator.writeString(format.apply(value));
			}
		});
	}

	/**
	 * Leaves out what doesn't restrict an account, as the documents that are read do.
	 */
	private interface AccountFields {

		@JsonInclude(JsonInclude.Include.NON_EMPTY)
		List<ServiceName> services();

	}

}
