package org.bramleyscale.internal.platform;

/**
 * An object stored by the platform.
 *
 * @param key the key
 * @param version the object's version, 1 at its creation and incremented at each change
 * @param value the bytes, at most {@link ObjectStore#MAX_VALUE_BYTES}; callers must not
 * modify them
 */
public record StoredObject(ObjectKey key, long version, byte[] value) {
}
