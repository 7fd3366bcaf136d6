package org.bramleyscale.internal.http;

import java.net.InetSocketAddress;

import com.codahale.metrics.MetricRegistry;
import org.bramleyscale.ErrorCode;
import org.bramleyscale.Ran;
import org.bramleyscale.ServingException;
import org.bramleyscale.Step;
import org.bramleyscale.internal.address.AddressResolver;
import org.bramleyscale.internal.configuration.ConfigurationSource;
import org.bramleyscale.internal.request.RequestService;
import org.bramleyscale.internal.status.StateDump;
import org.bramleyscale.internal.time.Cancellable;
import org.bramleyscale.internal.time.Scheduler;
import org.jboss.logging.Logger;
import ratpack.error.ClientErrorHandler;
import ratpack.error.ServerErrorHandler;
import ratpack.func.Action;
import ratpack.handling.Chain;
import ratpack.handling.Context;
import ratpack.registry.RegistrySpec;
import ratpack.server.RatpackServer;
import ratpack.server.RatpackServerSpec;
import ratpack.server.ServerConfigBuilder;

/**
 * The HTTP server towards callers and operators.
 *
 * <p>
 * Invariant: every answer that isn't a success is the JSON of {@link ErrorBody}. Calls
 * are checked on HTTP threads and handed to the scheduler's thread once; answers go back
 * to HTTP threads. {@link #start()} and {@link #stop()} block and are called by the
 * daemon's main thread.
 */
public final class EntryServer implements AutoCloseable {

	/** The name of this daemon in its own errors. */
	static final String SELF = "self";

	static final Cancellable NOTHING = () -> {
	};

	private static final Logger logger = Logger.getLogger(EntryServer.class);

	private final Builder parts;

	private final EntryMetrics metrics;

	private final EntryGate gate;

	private final Answers answers;

	private RatpackServer server;

	private Cancellable keepAlive = NOTHING;

	private EntryServer(Builder parts) {
		this.parts = parts;
		this.metrics = new EntryMetrics(parts.registry);
		this.gate = new EntryGate(parts.scheduler, parts.configuration, this.metrics);
		this.answers = new Answers(parts.scheduler, parts.settings, this.metrics);
	}

	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Starts to listen. Blocks until the scheduler's thread has told the configuration.
	 * @throws Exception if the address can't be used
	 */
	public void start() throws Exception {
		this.gate.follow().get();
		this.server = RatpackServer.start(this::define);
		this.keepAlive = this.parts.scheduler.repeat(this.parts.settings.keepAlive(), this.answers::keepAlive);
	}

	/**
	 * The port it listens on.
	 * @return the port, also when any free one was asked for
	 */
	public int port() {
		return this.server.getBindPort();
	}

	/**
	 * What operators see of it.
	 * @return the number of answers being streamed
	 */
	public StateDump state() {
		return new EntryDump(this.answers);
	}

	/**
	 * Stops listening and closes all connections.
	 * @throws Exception if that fails
	 */
	public void stop() throws Exception {
		this.keepAlive.cancel();
		this.server.stop();
	}

	@Override
	public void close() throws Exception {
		stop();
	}

	private void define(RatpackServerSpec spec) throws Exception {
		spec.serverConfig(this::configure).registryOf(this::register).handlers(this::routes);
	}

	private void configure(ServerConfigBuilder config) {
		EntrySettings settings = this.parts.settings;
		config.address(this.parts.address.getAddress())
			.port(this.parts.address.getPort())
			.threads(settings.threads())
			.maxContentLength(settings.bodyBytes())
			.idleTimeout(settings.idle())
			.development(false)
			.registerShutdownHook(false);
	}

	private void register(RegistrySpec registry) {
		registry.add(ServerErrorHandler.class, this::failed);
		registry.add(ClientErrorHandler.class, EntryServer::notFound);
	}

	private void routes(Chain chain) throws Exception {
		RequestService requests = this.parts.requests;
		int bodyBytes = this.parts.settings.bodyBytes();
		StreamHandler streams = new StreamHandler(this.gate, requests, this.answers);
		chain
			.post("v1/chat/completions",
					new CompletionHandler(this.gate, requests, AnswerFormat.Kind.CHAT, this.answers, bodyBytes))
			.post("v1/completions",
					new CompletionHandler(this.gate, requests, AnswerFormat.Kind.TEXT, this.answers, bodyBytes))
			.get("v1/addresses", new AddressHandler(this.gate, this.parts.addresses))
			.get("v1/requests/:id/stream", streams)
			.delete("v1/requests/:id", streams::cancel)
			.prefix("v1/services/:name",
					(services) -> services.all(new PlainServiceHandler(this.gate, requests, this.metrics, bodyBytes)))
			.insert(this.parts.handlers);
	}

	private void failed(Context context, Throwable cause) {
		if (cause instanceof ServingException failure) {
			this.gate.refuse(context, failure);
			return;
		}
		logger.errorf(cause, "The handler of %s failed", context.getRequest().getPath());
		ErrorBody.send(context, new ServingException(ErrorCode.INTERNAL, Ran.UNKNOWN, Step.RECEIVE, SELF,
				"the request failed inside the daemon"));
	}

	private static void notFound(Context context, int status) {
		ErrorBody.send(context,
				new ServingException(ErrorCode.NOT_FOUND, Ran.NO, Step.RECEIVE, SELF, "there is no operation "
						+ context.getRequest().getMethod().getName() + " /" + context.getRequest().getPath()));
	}

	/**
	 * Collects the parts of a server.
	 */
	public static final class Builder {

		private InetSocketAddress address;

		private Scheduler scheduler;

		private ConfigurationSource configuration;

		private AddressResolver addresses;

		private RequestService requests;

		private EntrySettings settings = EntrySettings.DEFAULT;

		private MetricRegistry registry = new MetricRegistry();

		private Action<? super Chain> handlers = (chain) -> {
		};

		private Builder() {
		}

		/**
		 * Sets where to listen.
		 * @param newAddress the address; port 0 means any free one
		 * @return this
		 */
		public Builder address(InetSocketAddress newAddress) {
			this.address = newAddress;
			return this;
		}

		public Builder scheduler(Scheduler newScheduler) {
			this.scheduler = newScheduler;
			return this;
		}

		public Builder configuration(ConfigurationSource newConfiguration) {
			this.configuration = newConfiguration;
			return this;
		}

		public Builder addresses(AddressResolver newAddresses) {
			this.addresses = newAddresses;
			return this;
		}

		public Builder requests(RequestService newRequests) {
			this.requests = newRequests;
			return this;
		}

		public Builder settings(EntrySettings newSettings) {
			this.settings = newSettings;
			return this;
		}

		public Builder metrics(MetricRegistry newRegistry) {
			this.registry = newRegistry;
			return this;
		}

		/**
		 * Sets handlers of paths that callers' operations don't use.
		 * @param newHandlers adds the handlers
		 * @return this
		 */
		public Builder handlers(Action<? super Chain> newHandlers) {
			this.handlers = newHandlers;
			return this;
		}

		/**
		 * Makes the server, which doesn't listen yet.
		 * @return the server
		 */
		public EntryServer build() {
			require("address", this.address);
			require("scheduler", this.scheduler);
			require("configuration", this.configuration);
			require("addresses", this.addresses);
			require("requests", this.requests);
			return new EntryServer(this);
		}

		private static void require(String part, Object value) {
			if (value == null) {
				throw new IllegalArgumentException("an entry server needs '" + part + "'");
			}
		}

	}

}
