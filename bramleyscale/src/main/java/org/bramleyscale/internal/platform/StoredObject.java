package org.bramleyscale.internal.platform;

/**
 * One object as the platform holds it.
 *
 * @param key the key
 * @param version the object's version, 1 at its creation, one more at each change
 * @param value the bytes, at most a megabyte; callers must not modify them
 */
public record StoredObject(ObjectKey key, long version, byte[] value) {
}
