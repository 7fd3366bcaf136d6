package org.bramleyscale.standins.engine;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import org.bramleyscale.EndpointId;
import org.bramleyscale.internal.endpoint.LoadReport;
import org.bramleyscale.standins.service.ServiceFault;
import org.bramleyscale.standins.service.ServiceState;

/**
 * One endpoint without sockets: an engine or an instance of a plain service, and the
 * connections that are open to it.
 *
 * <p>
 * Confined to the scheduler's thread.
 */
final class InMemoryEndpoint {

	private final EndpointId name;

	private final Set<InMemoryConnection> open = new LinkedHashSet<>();

	private EngineState engine;

	private ServiceState service;

	private boolean dead;

	InMemoryEndpoint(EndpointId name) {
		this.name = name;
		this.dead = true;
	}

	EndpointId name() {
		return this.name;
	}

	void run(EngineState newEngine) {
		this.engine = newEngine;
		this.dead = false;
	}

	void run(ServiceState newService) {
		this.service = newService;
		this.dead = false;
	}

	EngineState engine() {
		return this.engine;
	}

	ServiceState service() {
		return this.service;
	}

	boolean dead() {
		return this.dead;
	}

	boolean frozen() {
		return (this.engine != null) ? this.engine.has(Fault.FREEZE) : this.service.has(ServiceFault.FREEZE);
	}

	LoadReport report() {
		return (this.engine != null) ? this.engine.report() : this.service.report();
	}

	void opened(InMemoryConnection connection) {
		this.open.add(connection);
	}

	void closed(InMemoryConnection connection) {
		this.open.remove(connection);
	}

	/**
	 * Ends the process; every caller with an open connection notices.
	 */
	void kill() {
		this.dead = true;
		Optional.ofNullable(this.engine).ifPresent(EngineState::stop);
		List<InMemoryConnection> cut = new ArrayList<>(this.open);
		this.open.clear();
		cut.forEach(InMemoryConnection::cut);
	}

}
