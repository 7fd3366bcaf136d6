package org.bramleyscale.standins.engine;

import java.time.Duration;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.time.Scheduler;
import org.bramleyscale.standins.service.ServiceState;

/**
 * Engines and plain services that daemons reach without sockets.
 *
 * <p>
 * Shared by the clients of all daemons under one manual scheduler and confined to its
 * thread.
 */
public final class InMemoryEndpoints {

	private final Scheduler scheduler;

	private final Duration latency;

	private final Map<EndpointId, InMemoryEndpoint> endpoints = new LinkedHashMap<>();

	private final Map<EndpointId, EngineParameters> engines = new HashMap<>();

	private final Observer observer;

	private long boots;

	/**
	 * Creates a network without endpoints.
	 * @param scheduler the endpoints' time
	 * @param latency how long each message takes
	 * @param observer hears what endpoints do
	 */
	public InMemoryEndpoints(Scheduler scheduler, Duration latency, Observer observer) {
		this.scheduler = scheduler;
		this.latency = latency;
		this.observer = observer;
	}

	/**
	 * Starts an engine with empty memory.
	 * @param name its name
	 * @param parameters how it behaves
	 */
	public void startEngine(EndpointId name, EngineParameters parameters) {
		this.engines.put(name, parameters);
		restartEngine(name);
	}

	/**
	 * Starts an engine again with empty memory.
	 * @param name its name
	 */
	public void restartEngine(EndpointId name) {
		endpoint(name).run(new EngineState(name, this.engines.get(name), this.scheduler, ++this.boots));
	}

	public void startService(EndpointId name, Duration delay, int slots) {
		endpoint(name).run(new ServiceState(name, delay, slots, this.scheduler, ++this.boots));
	}

	/**
	 * Ends an endpoint's process at once.
	 * @param name the endpoint
	 */
	public void kill(EndpointId name) {
		endpoint(name).kill();
	}

	public boolean dead(EndpointId name) {
		return endpoint(name).dead();
	}

	/**
	 * The engine's latest start.
	 * @param name the engine
	 * @return its state
	 */
	public EngineState engine(EndpointId name) {
		return endpoint(name).engine();
	}

	public ServiceState service(EndpointId name) {
		return endpoint(name).service();
	}

	public List<EndpointId> engineNames() {
		return this.endpoints.keySet().stream().filter(this.engines::containsKey).toList();
	}

	public List<EndpointId> serviceNames() {
		return this.endpoints.keySet().stream().filter((name) -> !this.engines.containsKey(name)).toList();
	}

	Scheduler scheduler() {
		return this.scheduler;
	}

	Duration latency() {
		return this.latency;
	}

	Observer observer() {
		return this.observer;
	}

	InMemoryEndpoint endpoint(EndpointId name) {
		return this.endpoints.computeIfAbsent(name, InMemoryEndpoint::new);
	}

	/**
	 * Hears what endpoints do, so that a check can compare it with what callers were
	 * told.
	 */
	public interface Observer {

		/**
		 * An endpoint took new work.
		 * @param endpoint the endpoint
		 * @param requestId the request in its written form
		 */
		void taken(EndpointId endpoint, String requestId);

		/**
		 * An engine made tokens.
		 * @param endpoint the engine
		 * @param requestId the request in its written form
		 */
		void worked(EndpointId endpoint, String requestId);

	}

}
