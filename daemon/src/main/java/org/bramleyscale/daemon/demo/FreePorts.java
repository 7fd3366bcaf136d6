package org.bramleyscale.daemon.demo;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;

/**
 * Finds free ports on the loopback address.
 */
public final class FreePorts {

	private FreePorts() {
	}

	/**
	 * Finds different ports that are free now.
	 * @param count how many
	 * @return the ports
	 * @throws IOException if there are not as many
	 */
	public static List<Integer> find(int count) throws IOException {
		List<ServerSocket> sockets = new ArrayList<>();
		try {
			for (int i = 0; i < count; i++) {
				sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
			}
			return sockets.stream().map(ServerSocket::getLocalPort).toList();
		}
		finally {
			for (ServerSocket socket : sockets) {
				socket.close();
			}
		}
	}

}
