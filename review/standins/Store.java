package standins;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Executors;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/** The platform's store, always sound: objects, conditions, lists, watches. */
final class Store {

	private static final String OBJECTS = "/bramleyscale/objects/";

	private static final int NO_ANSWER = 0;

	private final HttpServer server;

	private final Map<String, Map<String, Object>> objects = new TreeMap<>();

	private final List<Map<String, Object>> events = new ArrayList<>();

	private long revision = 100;

	/** While true, calls get no answer, also later, and do nothing. */
	private volatile boolean silent;

	Store() throws IOException {
		this.server = HttpServer.create(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 0);
		this.server.createContext(OBJECTS, this::handle);
		this.server.setExecutor(Executors.newCachedThreadPool((task) -> {
			Thread thread = new Thread(task, "store");
			thread.setDaemon(true);
			return thread;
		}));
		this.server.start();
	}

	String address() {
		return "127.0.0.1:" + this.server.getAddress().getPort();
	}

	void silent(boolean value) {
		this.silent = value;
		synchronized (this) {
			notifyAll();
		}
	}

	synchronized void put(String kind, String name, Object specification) {
		write(kind, name, specification);
	}

	synchronized void delete(String kind, String name) {
		Map<String, Object> old = this.objects.remove(kind + "/" + name);
		if (old != null) {
			this.revision++;
			event(kind, old, true);
		}
	}

	private Map<String, Object> write(String kind, String name, Object specification) {
		Map<String, Object> old = this.objects.get(kind + "/" + name);
		if (old != null && Json.write(old.get("specification")).equals(Json.write(specification))) {
			return old;
		}
		this.revision++;
		Object created = (old != null) ? Json.map(old.get("metadata")).get("created") : (Object) this.revision;
		Map<String, Object> object = Json.object("metadata",
				Json.object("name", name, "revision", this.revision, "created", created, "finalizers", List.of(),
						"deletion_pending", false),
				"specification", specification, "status", null);
		this.objects.put(kind + "/" + name, object);
		event(kind, object, false);
		return object;
	}

	private void event(String kind, Map<String, Object> object, boolean deleted) {
		this.events.add(Json.object("kind", kind, "at", this.revision, "deleted", deleted, "object", object));
		notifyAll();
	}

	private void handle(HttpExchange exchange) throws IOException {
		String body = new String(exchange.getRequestBody().readAllBytes(), java.nio.charset.StandardCharsets.UTF_8);
		String[] path = exchange.getRequestURI().getPath().substring(OBJECTS.length()).split("/");
		Map<String, String> query = new HashMap<>();
		if (exchange.getRequestURI().getQuery() != null) {
			for (String part : exchange.getRequestURI().getQuery().split("&")) {
				query.put(part.substring(0, part.indexOf('=')), part.substring(part.indexOf('=') + 1));
			}
		}
		Map<String, Object> answer = new HashMap<>();
		int status = 500;
		try {
			status = answer(exchange.getRequestMethod(), path, query, body, answer);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		if (this.silent || status == NO_ANSWER) {
			// The channel stays open and returns nothing further.
			return;
		}
		byte[] bytes = Http.bytes(Json.write(answer));
		exchange.getResponseHeaders().set("Content-Type", "application/json");
		exchange.sendResponseHeaders(status, bytes.length);
		exchange.getResponseBody().write(bytes);
		exchange.close();
	}

	private synchronized int answer(String method, String[] path, Map<String, String> query, String body,
			Map<String, Object> answer) throws InterruptedException {
		String kind = path[0];
		if (this.silent) {
			return NO_ANSWER;
		}
		if (method.equals("GET") && path.length == 1) {
			return query.containsKey("watch") ? watch(kind, query, answer) : list(kind, answer);
		}
		Map<String, Object> given = body.isEmpty() ? Map.of() : Json.map(Json.read(body));
		Map<String, Object> metadata = given.containsKey("metadata") ? Json.map(given.get("metadata")) : Map.of();
		String name = (path.length > 1) ? path[1] : (String) metadata.get("name");
		Map<String, Object> old = this.objects.get(kind + "/" + name);
		if (method.equals("POST") && old != null) {
			answer.putAll(old);
			return 409;
		}
		if (!method.equals("POST") && old == null) {
			return 404;
		}
		String expected = query.getOrDefault("revision",
				metadata.containsKey("revision") ? metadata.get("revision").toString() : null);
		if (old != null && expected != null
				&& !expected.equals(Json.map(old.get("metadata")).get("revision").toString())) {
			answer.putAll(old);
			return 409;
		}
		switch (method) {
			case "GET" -> answer.putAll(old);
			case "POST", "PUT" -> answer.putAll(write(kind, name, given.get("specification")));
			case "DELETE" -> {
				answer.putAll(old);
				delete(kind, name);
			}
			default -> {
				return 400;
			}
		}
		return 200;
	}

	private int list(String kind, Map<String, Object> answer) {
		List<Object> items = new ArrayList<>();
		this.objects.forEach((key, object) -> {
			if (key.startsWith(kind + "/")) {
				items.add(object);
			}
		});
		answer.put("items", items);
		answer.put("has_more", false);
		answer.put("at", this.revision);
		return 200;
	}

	private int watch(String kind, Map<String, String> query, Map<String, Object> answer) throws InterruptedException {
		long after = Long.parseLong(query.get("watch"));
		if (after < 100) {
			return 410;
		}
		long end = System.nanoTime() + Long.parseLong(query.getOrDefault("wait_ms", "0")) * 1_000_000;
		List<Object> found = new ArrayList<>();
		while (true) {
			for (Map<String, Object> event : this.events) {
				if (event.get("kind").equals(kind) && (Long) event.get("at") > after) {
					found.add(Json.object("object", event.get("object"), "deleted", event.get("deleted")));
				}
			}
			if (this.silent) {
				return NO_ANSWER;
			}
			long left = (end - System.nanoTime()) / 1_000_000;
			if (!found.isEmpty() || left <= 0) {
				answer.put("events", found);
				answer.put("at", this.revision);
				return 200;
			}
			wait(left);
		}
	}

}
