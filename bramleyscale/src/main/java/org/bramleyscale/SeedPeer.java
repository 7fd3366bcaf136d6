package org.bramleyscale;

import java.util.regex.Matcher;
import java.util.regex.Pattern;

import com.google.common.net.HostAndPort;

/**
 * A daemon to connect to before the platform's list of VMs could be read; written
 * {@code vm/dataCentre/host:port}.
 *
 * <p>
 * A daemon that starts in an outage of the platform finds the others only through these.
 * Immutable and safe for use by multiple threads.
 *
 * @param vm the VM the daemon runs on
 * @param dataCentre where the VM runs
 * @param address where the daemon listens for peers
 */
public record SeedPeer(VmId vm, DataCentre dataCentre, HostAndPort address) {

	private static final Pattern FORM = Pattern.compile("([^/]+)/([^/]+)/([^/]+)");

	/**
	 * Reads the written form.
	 * @param text for example {@code entry-1/shah-alam/10.1.2.3:9080}
	 * @return the seed
	 * @throws IllegalArgumentException if the text has another form
	 */
	public static SeedPeer parse(String text) {
		Matcher matcher = FORM.matcher(text);
		if (!matcher.matches()) {
			throw new IllegalArgumentException(
					"'" + text + "' is not a peer such as 'entry-1/shah-alam/10.1.2.3:9080'");
		}
		return new SeedPeer(new VmId(matcher.group(1)), new DataCentre(matcher.group(2)),
				SettingTypes.parseAddress(matcher.group(3)));
	}

	@Override
	public String toString() {
		return this.vm + "/" + this.dataCentre + "/" + this.address;
	}

}
