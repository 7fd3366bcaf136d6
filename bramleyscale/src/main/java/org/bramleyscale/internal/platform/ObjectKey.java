package org.bramleyscale.internal.platform;

/**
 * The key of one object in the platform's object API.
 *
 * @param kind the kind, for example {@code lease}
 * @param name the name, unique within the kind
 */
public record ObjectKey(String kind, String name) {

	public ObjectKey {
		if (!kind.matches("[a-z][a-z0-9-]*")) {
			throw new IllegalArgumentException("object kind '" + kind + "' must be lower-case letters, digits and '-'");
		}
		if (!name.matches("[A-Za-z0-9._:~-]+")) {
			throw new IllegalArgumentException(
					"object name '" + name + "' may only contain letters, digits, '.', '_', ':', '~' and '-'");
		}
	}

	@Override
	public String toString() {
		return this.kind + "/" + this.name;
	}

}
