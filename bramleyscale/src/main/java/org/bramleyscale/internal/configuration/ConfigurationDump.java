package org.bramleyscale.internal.configuration;

import java.util.List;

/**
 * What a dump shows of the configuration.
 *
 * @param version the held version
 * @param hash its content hash
 * @param entries its number of entries
 * @param parts its number of parts in the platform
 * @param fresh whether requests may be admitted under it
 * @param confirmedAgeMillis how long ago the platform confirmed it, or -1
 * @param newestKnown the newest version heard of
 * @param relay whether this daemon watches the platform
 * @param heard how many daemons are heard
 * @param members how many there should be
 * @param holders what other daemons hold, a hundred at most
 */
public record ConfigurationDump(long version, String hash, int entries, int parts, boolean fresh,
		long confirmedAgeMillis, long newestKnown, boolean relay, int heard, int members, List<Holding> holders) {

	public ConfigurationDump {
		holders = List.copyOf(holders);
	}

	/**
	 * What one daemon holds.
	 *
	 * @param vm its VM
	 * @param version the version
	 * @param hash its content hash
	 * @param heardMillisAgo how long ago it said so
	 */
	public record Holding(String vm, long version, String hash, long heardMillisAgo) {
	}

}
