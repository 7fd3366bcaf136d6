package org.bramleyscale.internal.configuration;

/**
 * One entry, or its removal, as it is stored and sent.
 *
 * <p>
 * Bytes are kept as they came, so that a daemon of an earlier version, which doesn't know
 * all fields, computes the same content hash. Callers must not modify the value.
 *
 * @param type the code of the entry's type
 * @param name the entry's name
 * @param value the entry in MessagePack, or null for its removal
 */
record EncodedEntry(int type, String name, byte[] value) {

	EntryKey key() {
		return new EntryKey(this.type, this.name);
	}

	boolean removal() {
		return this.value == null;
	}

}
