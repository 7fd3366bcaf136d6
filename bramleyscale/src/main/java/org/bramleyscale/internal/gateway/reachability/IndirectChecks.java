package org.bramleyscale.internal.gateway.reachability;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.random.RandomGenerator;

import org.bramleyscale.Incarnation;
import org.bramleyscale.VmId;
import org.bramleyscale.internal.gateway.backend.Backend;
import org.bramleyscale.internal.gateway.backend.BackendTable;
import org.bramleyscale.internal.gateway.backend.EndpointStart;
import org.bramleyscale.internal.gateway.crash.PeerCheck;
import org.bramleyscale.internal.peer.MessageCatalog;
import org.bramleyscale.internal.peer.PeerNetwork;
import org.bramleyscale.internal.time.Scheduler;

/**
 * Asks a few peers to connect to an endpoint that refuses this daemon, and answers peers
 * that ask the same.
 *
 * <p>
 * Peers are drawn among all, since those that callers use may have lost the same paths.
 * Only an accepted connection is answered. Invariants: at most {@link #MAX_ROUNDS} times
 * {@link #PEERS_PER_ROUND} peers are asked about an endpoint, and at most
 * {@link #MAX_CHECKS} checks for peers are in progress; the others are left out. Confined
 * to the scheduler's thread.
 */
public final class IndirectChecks implements PeerCheck {

	/** Number of peers that are asked at once. */
	static final int PEERS_PER_ROUND = 3;

	/** Number of times that other peers are asked. */
	static final int MAX_ROUNDS = 4;

	/** Time between two rounds. */
	static final Duration ROUND_INTERVAL = Duration.ofMillis(250);

	/**
	 * Time after which an answer counts no more: another process may have started at the
	 * endpoint's address.
	 */
	static final Duration MAX_AGE = Duration.ofMillis(1_300);

	/** Maximum number of checks for peers at a time. */
	static final int MAX_CHECKS = 16;

	private final Scheduler scheduler;

	private final PeerNetwork network;

	private final ConnectionCheck check;

	private final BackendTable backends;

	private final RandomGenerator random;

	private final Map<EndpointStart, Question> questions = new HashMap<>();

	private int checksInProgress;

	/**
	 * Creates an instance, which answers peers from now on.
	 * @param scheduler the daemon's scheduler
	 * @param network the connections to peers
	 * @param check tries to connect to endpoints
	 * @param backends the endpoints
	 * @param random chooses the peers that are asked
	 */
	public IndirectChecks(Scheduler scheduler, PeerNetwork network, ConnectionCheck check, BackendTable backends,
			RandomGenerator random) {
		this.scheduler = scheduler;
		this.network = network;
		this.check = check;
		this.backends = backends;
		this.random = random;
		network.listen(ConnectionProbe.class, this::asked);
		network.listen(ConnectionProbeAnswer.class, this::answered);
	}

	/**
	 * Registers this package's peer messages.
	 * @param builder the message catalog
	 */
	public static void register(MessageCatalog.Builder builder) {
		builder.add(111, ConnectionProbe.class, "ConnectionProbed")
			.add(112, ConnectionProbeAnswer.class, "ConnectionAccepted");
	}

	@Override
	public void ask(EndpointStart endpoint, Runnable accepted) {
		Question question = new Question(accepted, new ArrayList<>(this.network.connected()));
		if (this.questions.putIfAbsent(endpoint, question) == null) {
			this.scheduler.schedule(MAX_AGE, () -> this.questions.remove(endpoint));
			askNext(endpoint, question, MAX_ROUNDS);
		}
	}

	private void askNext(EndpointStart endpoint, Question question, int rounds) {
		if (this.questions.get(endpoint) != question || rounds == 0 || question.peers.isEmpty()) {
			return;
		}
		for (int i = 0; i < PEERS_PER_ROUND && !question.peers.isEmpty(); i++) {
			VmId peer = question.peers.remove(this.random.nextInt(question.peers.size()));
			this.network.send(peer, new ConnectionProbe(endpoint.toString()));
		}
		this.scheduler.schedule(ROUND_INTERVAL, () -> askNext(endpoint, question, rounds - 1));
	}

	private void answered(Incarnation from, ConnectionProbeAnswer answer) {
		Question question = this.questions.remove(EndpointStart.parse(answer.endpoint()));
		if (question != null) {
			question.accepted.run();
		}
	}

	private void asked(Incarnation from, ConnectionProbe probe) {
		Optional<Backend> endpoint = this.backends.all()
			.stream()
			.filter((each) -> each.start().toString().equals(probe.endpoint()))
			.findFirst();
		if (endpoint.isEmpty() || this.checksInProgress == MAX_CHECKS) {
			return;
		}
		this.checksInProgress++;
		this.check.connect(endpoint.get()).thenAccept((outcome) -> {
			this.checksInProgress--;
			if (outcome == ConnectionOutcome.ACCEPTED) {
				this.network.send(from.vm(), new ConnectionProbeAnswer(probe.endpoint()));
			}
		});
	}

	/**
	 * A question that is still open.
	 *
	 * @param accepted called if a peer's connection is accepted
	 * @param peers the peers that haven't been asked
	 */
	private record Question(Runnable accepted, List<VmId> peers) {
	}

}
