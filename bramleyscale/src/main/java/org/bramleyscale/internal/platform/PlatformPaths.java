package org.bramleyscale.internal.platform;

/**
 * The paths, parameters and headers of the platform's object API over HTTP.
 *
 * <p>
 * Constants only.
 */
public final class PlatformPaths {

	/** Objects: {@code objects/KIND} and {@code objects/KIND/NAME}. */
	public static final String OBJECTS = "objects";

	/** The list of VMs: {@code vms}. */
	public static final String VMS = "vms";

	/** The stored version that a conditional call expects. */
	public static final String EXPECTED = "expected";

	/** The revision after which a watch continues. */
	public static final String AFTER = "after";

	/** The maximum wait of a watch, in milliseconds. */
	public static final String WAIT_MILLIS = "waitMillis";

	/** The header with an object's version in a reply. */
	public static final String VERSION_HEADER = "Object-Version";

	private PlatformPaths() {
	}

}
