package org.bramleyscale.internal.configuration;

import java.util.Arrays;
import java.util.Optional;

/**
 * The types of configuration entries.
 *
 * <p>
 * Codes are part of what the platform stores and peers exchange: a code is never given to
 * another type.
 */
public enum EntryType {

	/** A VM of the register. */
	VM(1, "vms", VmEntry.class),

	/** A model of the register. */
	MODEL(2, "models", ModelEntry.class),

	/** A service of the register. */
	SERVICE(3, "services", ServiceEntry.class),

	/** An endpoint of the register. */
	ENDPOINT(4, "endpoints", EndpointEntry.class),

	/** An account of the rules. */
	ACCOUNT(5, "accounts", AccountRule.class),

	/** An urgent service of the rules. */
	URGENT(6, "urgent", UrgentService.class);

	private final int code;

	private final String section;

	private final Class<? extends ConfigurationEntry> entryClass;

	EntryType(int code, String section, Class<? extends ConfigurationEntry> entryClass) {
		this.code = code;
		this.section = section;
		this.entryClass = entryClass;
	}

	public int code() {
		return this.code;
	}

	/**
	 * The section of the document that holds entries of this type.
	 * @return the key of the section
	 */
	public String section() {
		return this.section;
	}

	Class<? extends ConfigurationEntry> entryClass() {
		return this.entryClass;
	}

	/**
	 * The type of a code.
	 * @param code the code
	 * @return the type, or empty if only a later version of the daemon knows it
	 */
	public static Optional<EntryType> ofCode(int code) {
		return Arrays.stream(values()).filter((type) -> type.code == code).findFirst();
	}

}
