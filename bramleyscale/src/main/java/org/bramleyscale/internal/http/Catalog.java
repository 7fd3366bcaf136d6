package org.bramleyscale.internal.http;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.common.hash.Hashing;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.ModelName;
import org.bramleyscale.Ran;
import org.bramleyscale.ServiceName;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.configuration.AccountRule;
import org.bramleyscale.internal.configuration.Configuration;
import org.bramleyscale.internal.configuration.EndpointEntry;
import org.bramleyscale.internal.configuration.ServiceEntry;

/**
 * What callers may ask for under one version of the configuration.
 *
 * <p>
 * Immutable and safe for use by multiple threads, so that requests are checked on the
 * HTTP threads.
 */
final class Catalog {

	private static final String SCHEME = "Bearer ";

	private final Configuration configuration;

	private final Map<String, List<ServiceEntry>> servicesByModel = new HashMap<>();

	Catalog(Configuration configuration) {
		this.configuration = configuration;
		for (ServiceEntry service : configuration.register().services()) {
			if (service.kind() == ServiceEntry.Kind.MODEL) {
				addModels(service);
			}
		}
	}

	private void addModels(ServiceEntry service) {
		for (EndpointEntry endpoint : this.configuration.endpoints(service.name())) {
			for (ModelName model : endpoint.models()) {
				List<ServiceEntry> services = this.servicesByModel.computeIfAbsent(model.value(),
						(name) -> new ArrayList<>());
				if (!services.contains(service)) {
					services.add(service);
				}
			}
		}
	}

	/**
	 * Whether no configuration has been heard of yet.
	 * @return true before the first version
	 */
	boolean empty() {
		return this.configuration.version() == 0;
	}

	/**
	 * Finds the account of an API key.
	 * @param authorization the value of the Authorization header, or null
	 * @return the account, or empty if no account has the key
	 */
	Optional<AccountRule> account(String authorization) {
		if (authorization == null || !authorization.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
			return Optional.empty();
		}
		String key = authorization.substring(SCHEME.length()).trim();
		return this.configuration.accountByKeyHash(Hashing.sha256().hashString(key, StandardCharsets.UTF_8).toString());
	}

	/**
	 * Finds the service that serves a model to an account: the first of the register.
	 * @param account the account
	 * @param model the model's name as the caller wrote it
	 * @return the service
	 * @throws ServingException if no service offers the model, or none that the account
	 * may use
	 */
	ServiceEntry serviceOf(AccountRule account, String model) throws ServingException {
		List<ServiceEntry> services = this.servicesByModel.getOrDefault(model, List.of());
		if (services.isEmpty()) {
			throw refused(ErrorCode.UNKNOWN_MODEL, "no service offers the model '" + model + "'");
		}
		return services.stream()
			.filter((service) -> account.mayUse(service.name()))
			.findFirst()
			.orElseThrow(() -> refused(ErrorCode.FORBIDDEN,
					"account '" + account.name() + "' may not use a service that offers the model '" + model + "'"));
	}

	/**
	 * Finds a plain service.
	 * @param account the account
	 * @param name the service's name as the caller wrote it
	 * @return the service
	 * @throws ServingException if there is no such plain service or the account may not
	 * use it
	 */
	ServiceEntry plainService(AccountRule account, String name) throws ServingException {
		ServiceEntry service = named(name).flatMap(this.configuration::service)
			.filter((entry) -> entry.kind() == ServiceEntry.Kind.PLAIN)
			.orElseThrow(() -> refused(ErrorCode.UNKNOWN_SERVICE, "there is no plain service '" + name + "'"));
		if (!account.mayUse(service.name())) {
			throw refused(ErrorCode.FORBIDDEN,
					"account '" + account.name() + "' may not use the service '" + name + "'");
		}
		return service;
	}

	private static Optional<ServiceName> named(String name) {
		try {
			return Optional.of(new ServiceName(name));
		}
		catch (IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static ServingException refused(ErrorCode code, String message) {
		return new ServingException(code, Ran.NO, Step.RECEIVE, EntryServer.SELF, message);
	}

}
