package org.bramleyscale.internal.platform;

import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;

/**
 * One line of the platform's lagging list of VMs.
 *
 * @param vm the VM
 * @param dataCentre where it runs
 * @param peerAddress {@code host:port} on which its daemon listens for peers
 * @param httpAddress {@code host:port} on which its daemon listens for callers
 * @param leaving true once the platform plans to take the VM away
 */
public record VmRecord(VmId vm, DataCentre dataCentre, String peerAddress, String httpAddress, boolean leaving) {
}
