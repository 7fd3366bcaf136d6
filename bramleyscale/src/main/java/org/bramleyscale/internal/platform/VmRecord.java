package org.bramleyscale.internal.platform;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;

/**
 * An entry in the platform's list of VMs, which may lag behind their actual state.
 *
 * @param vm the VM
 * @param dataCentre the data centre in which it runs
 * @param peerAddress {@code host:port} on which its daemon listens for peers
 * @param httpAddress {@code host:port} on which its daemon listens for callers
 * @param leaving true once the platform plans to remove the VM
 */
public record VmRecord(VmId vm, DataCentre dataCentre, String peerAddress, String httpAddress, boolean leaving) {
}
