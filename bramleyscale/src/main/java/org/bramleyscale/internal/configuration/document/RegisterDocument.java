package org.bramleyscale.internal.configuration.document;

import java.time.Duration;
import java.util.List;

import org.bramleyscale.DataCentre;
import org.bramleyscale.EndpointId;
import org.bramleyscale.ModelName;
import org.bramleyscale.ServiceName;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.configuration.ConfigurationChecks;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.InvalidConfigurationException;
import org.bramleyscale.internal.configuration.ModelEntry;
import org.bramleyscale.internal.configuration.Register;
import org.bramleyscale.internal.configuration.ServiceEntry;
import org.bramleyscale.internal.configuration.VmEntry;

/**
 * The register as a YAML document.
 *
 * <p>
 * Invariant: what {@link #format} writes, {@link #parse} reads back as an equal register.
 * Stateless and safe for use by multiple threads.
 */
public final class RegisterDocument {

	private static final List<String> SECTIONS = List.of("vms", "models", "services", "endpoints");

	private static final List<String> VM_FIELDS = List.of("name", "dataCentre");

	private static final List<String> MODEL_FIELDS = List.of("name", "contextTokens");

	private static final List<String> SERVICE_FIELDS = List.of("name", "kind", "timeout", "repeatable");

	private static final List<String> ENDPOINT_FIELDS = List.of("name", "service", "dataCentre", "address", "models",
			"checksFencing", "leaving");

	private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(60);

	private RegisterDocument() {
	}

	/**
	 * Reads a register.
	 * @param yaml the document
	 * @return the register
	 * @throws InvalidConfigurationException with everything that is wrong
	 */
	public static Register parse(String yaml) throws InvalidConfigurationException {
		DocumentReader reader = new DocumentReader(yaml, SECTIONS);
		Register register = new Register(reader.entries("vms", RegisterDocument::vm),
				reader.entries("models", RegisterDocument::model),
				reader.entries("services", RegisterDocument::service),
				reader.entries("endpoints", RegisterDocument::endpoint));
		reader.finish(ConfigurationChecks.problems(register));
		return register;
	}

	/**
	 * Writes a register.
	 * @param register the register
	 * @return the document
	 */
	public static String format(Register register) {
		return DocumentWriter.write(register);
	}

	private static VmEntry vm(MappingReader fields) {
		fields.allowOnly(VM_FIELDS);
		VmId name = fields.required("name", FieldType.name(VmId::new));
		DataCentre dataCentre = fields.required("dataCentre", FieldType.name(DataCentre::new));
		return new VmEntry(name, dataCentre);
	}

	private static ModelEntry model(MappingReader fields) {
		fields.allowOnly(MODEL_FIELDS);
		ModelName name = fields.required("name", FieldType.name(ModelName::new));
		Integer contextTokens = fields.required("contextTokens", FieldType.INTEGER);
		return fields.valid() ? new ModelEntry(name, contextTokens) : null;
	}

	private static ServiceEntry service(MappingReader fields) {
		fields.allowOnly(SERVICE_FIELDS);
		ServiceName name = fields.required("name", FieldType.name(ServiceName::new));
		ServiceEntry.Kind kind = fields.required("kind", FieldType.KIND);
		Duration timeout = fields.optional("timeout", FieldType.DURATION, DEFAULT_TIMEOUT);
		// A plain service's calls may book or bill; only its operator can say otherwise.
		Boolean repeatable = fields.optional("repeatable", FieldType.BOOLEAN, kind == ServiceEntry.Kind.MODEL);
		return fields.valid() ? new ServiceEntry(name, kind, timeout, repeatable) : null;
	}

	private static EndpointEntry endpoint(MappingReader fields) {
		fields.allowOnly(ENDPOINT_FIELDS);
		EndpointId name = fields.required("name", FieldType.name(EndpointId::new));
		ServiceName service = fields.required("service", FieldType.name(ServiceName::new));
		DataCentre dataCentre = fields.required("dataCentre", FieldType.name(DataCentre::new));
		String address = fields.required("address", FieldType.TEXT);
		List<ModelName> models = fields.list("models", FieldType.name(ModelName::new));
		Boolean checksFencing = fields.optional("checksFencing", FieldType.BOOLEAN, false);
		Boolean leaving = fields.optional("leaving", FieldType.BOOLEAN, false);
		if (!fields.valid()) {
			return null;
		}
		return new EndpointEntry(name, service, dataCentre, address, models, checksFencing, leaving);
	}

}
