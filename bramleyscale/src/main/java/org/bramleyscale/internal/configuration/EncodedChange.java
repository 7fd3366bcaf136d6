package org.bramleyscale.internal.configuration;

import java.util.Arrays;

/**
 * How one entry differs between two versions.
 *
 * <p>
 * Callers must not modify the values.
 *
 * @param type the code of the entry's type
 * @param name the entry's name
 * @param before the entry in the earlier version, or null if it wasn't there
 * @param after the entry in the later version, or null if it is gone
 */
record EncodedChange(int type, String name, byte[] before, byte[] after) {

	EntryKey key() {
		return new EntryKey(this.type, this.name);
	}

	EncodedEntry forward() {
		return new EncodedEntry(this.type, this.name, this.after);
	}

	EncodedEntry backward() {
		return new EncodedEntry(this.type, this.name, this.before);
	}

	boolean nothing() {
		return Arrays.equals(this.before, this.after);
	}

}
