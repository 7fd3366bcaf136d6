import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in of the platform's metadata store, always available. */
final class Store {

	private static final String PREFIX = "/bramleyscale/objects/";

	private static final String SPECIFICATION = "\"specification\":";

	private static final long HISTORY_NANOS = 20_000_000_000L;

	private static final Pattern REVISION = Pattern.compile("\"revision\":(\\d+)");

	private static final Pattern NAME = Pattern.compile("\"name\":\"([^\"]+)\"");

	private final ServerSocket server;

	private final Map<String, TreeMap<String, Stored>> kinds = new HashMap<>();

	private final List<Change> changes = new ArrayList<>();

	private long revision = 100;

	private long forgotten = 100;

	Store(String ip) throws IOException {
		this.server = new ServerSocket(0, 200, InetAddress.getByName(ip));
		Fleet.background(() -> {
			while (true) {
				Socket socket = this.server.accept();
				Fleet.background(() -> serve(socket));
			}
		});
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ":" + this.server.getLocalPort();
	}

	/** Creates or replaces an object; an equal one isn't a change. */
	synchronized void put(String kind, String name, String specification) {
		TreeMap<String, Stored> objects = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>());
		Stored before = objects.get(name);
		if (before != null && before.specification.equals(specification)) {
			return;
		}
		long next = ++this.revision;
		Stored now = new Stored(specification, next, (before != null) ? before.created : next);
		objects.put(name, now);
		record(kind, name, now, false);
	}

	synchronized void delete(String kind, String name) {
		Stored before = this.kinds.computeIfAbsent(kind, (key) -> new TreeMap<>()).remove(name);
		if (before != null) {
			record(kind, name, new Stored(before.specification, ++this.revision, before.created), true);
		}
	}

	private void record(String kind, String name, Stored object, boolean deleted) {
		long now = System.nanoTime();
		this.changes.add(new Change(object.revision, kind, object.json(name), deleted, now));
		while (now - this.changes.get(0).at > HISTORY_NANOS) {
			this.forgotten = this.changes.remove(0).revision;
		}
		notifyAll();
	}

	private void serve(Socket socket) throws Exception {
		socket.setTcpNoDelay(true);
		InputStream in = new BufferedInputStream(socket.getInputStream());
		OutputStream out = socket.getOutputStream();
		for (Message call = Message.readRequest(in); call != null; call = Message.readRequest(in)) {
			Answer answer = answer(call);
			Message.writeResponse(out, answer.status, "Content-Type: application/json\r\n",
					answer.json.getBytes(StandardCharsets.UTF_8));
		}
		socket.close();
	}

	private Answer answer(Message call) throws Exception {
		URI target = URI.create(call.target());
		String[] path = target.getPath().substring(PREFIX.length()).split("/");
		Map<String, String> query = new HashMap<>();
		for (String pair : (target.getQuery() != null) ? target.getQuery().split("&") : new String[0]) {
			query.put(pair.split("=", 2)[0], pair.split("=", 2)[1]);
		}
		if (query.containsKey("watch")) {
			return watch(path[0], Long.parseLong(query.get("watch")), Long.parseLong(query.get("wait_ms")));
		}
		return change(call, path, query);
	}

	private synchronized Answer change(Message call, String[] path, Map<String, String> query) {
		TreeMap<String, Stored> objects = this.kinds.computeIfAbsent(path[0], (key) -> new TreeMap<>());
		if (call.method().equals("GET") && path.length == 1) {
			List<String> items = new ArrayList<>();
			objects.forEach((name, object) -> items.add(object.json(name)));
			return new Answer(200,
					"{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"at\":" + this.revision + "}");
		}
		String text = call.text();
		int split = text.indexOf(SPECIFICATION);
		Matcher named = NAME.matcher(text);
		String name = (path.length > 1) ? path[1] : named.find() ? named.group(1) : "";
		Stored known = objects.get(name);
		if (call.method().equals("POST")) {
			if (known != null) {
				return new Answer(409, known.json(name));
			}
		}
		else if (known == null) {
			return new Answer(404, "{}");
		}
		if (call.method().equals("GET")) {
			return new Answer(200, known.json(name));
		}
		Matcher condition = REVISION.matcher((split >= 0) ? text.substring(0, split) : text);
		String expected = condition.find() ? condition.group(1) : query.get("revision");
		if (known != null && expected != null && Long.parseLong(expected) != known.revision) {
			return new Answer(409, known.json(name));
		}
		if (call.method().equals("DELETE")) {
			delete(path[0], name);
			return new Answer(200, "{}");
		}
		put(path[0], name, text.substring(split + SPECIFICATION.length(), text.length() - 1));
		return new Answer(200, objects.get(name).json(name));
	}

	private synchronized Answer watch(String kind, long after, long waitMillis) throws InterruptedException {
		long end = System.nanoTime() + waitMillis * 1_000_000;
		while (true) {
			if (after < this.forgotten) {
				return new Answer(410, "{}");
			}
			List<String> events = new ArrayList<>();
			for (Change change : this.changes) {
				if (change.revision > after && change.kind.equals(kind)) {
					events.add("{\"deleted\":" + change.deleted + ",\"object\":" + change.json + "}");
				}
			}
			long leftMillis = (end - System.nanoTime()) / 1_000_000;
			if (!events.isEmpty() || leftMillis <= 0) {
				return new Answer(200,
						"{\"events\":[" + String.join(",", events) + "],\"at\":" + this.revision + "}");
			}
			wait(leftMillis);
		}
	}

	private record Stored(String specification, long revision, long created) {

		String json(String name) {
			return "{\"metadata\":{\"name\":\"" + name + "\",\"revision\":" + this.revision + ",\"created\":"
					+ this.created + ",\"finalizers\":[],\"deletion_pending\":false},\"specification\":"
					+ this.specification + ",\"status\":null}";
		}

	}

	private record Change(long revision, String kind, String json, boolean deleted, long at) {
	}

	private record Answer(int status, String json) {
	}

}
