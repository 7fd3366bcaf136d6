package org.bramleyscale.internal.node;

import java.util.List;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.internal.endpoint.EngineClient;
import org.bramleyscale.internal.peer.PeerIdentity;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.platform.ObjectStore;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Everything that a daemon's slices use of the world outside.
 *
 * @param identity who the daemon is and where it listens
 * @param scheduler its thread and clock
 * @param random its source of chance
 * @param network messages to other daemons; need not deliver to this one
 * @param store the platform's object API
 * @param engines calls to endpoints
 * @param metrics where everything is counted
 * @param dumps state of the adapters behind these ports
 * @param ended told once when a planned stop is complete: true if every request had ended
 */
public record NodePorts(PeerIdentity identity, Scheduler scheduler, RandomGenerator random, PeerNetwork network,
		ObjectStore store, EngineClient engines, MetricRegistry metrics, List<StateDump> dumps,
		Consumer<Boolean> ended) {
}
