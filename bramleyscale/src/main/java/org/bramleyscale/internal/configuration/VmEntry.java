package org.bramleyscale.internal.configuration;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;

/**
 * One VM of the register.
 *
 * @param name the VM
 * @param dataCentre where it runs
 */
public record VmEntry(VmId name, DataCentre dataCentre) implements ConfigurationEntry {

	@Override
	public EntryKey key() {
		return EntryKey.of(EntryType.VM, this.name.value());
	}

}
