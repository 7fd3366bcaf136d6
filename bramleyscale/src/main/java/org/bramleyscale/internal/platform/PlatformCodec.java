package org.bramleyscale.internal.platform;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.type.TypeReference;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.bramleyscale.DataCentre;
import org.bramleyscale.VmId;
import org.jboss.logging.Logger;

/**
 * Encodes and decodes the platform's lists as JSON.
 *
 * <p>
 * Values are base64-encoded. Unknown fields are ignored, so that the platform can add
 * fields. Invariant: an entry that can't be read costs that entry alone. Stateless and
 * safe for use by multiple threads.
 */
public final class PlatformCodec {

	private static final Logger logger = Logger.getLogger(PlatformCodec.class);

	private static final TypeReference<List<JsonNode>> ENTRIES = new TypeReference<>() {
	};

	private static final ObjectMapper mapper = new ObjectMapper()
		.configure(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES, false);

	private PlatformCodec() {
	}

	public static byte[] writeBatch(WatchBatch batch) {
		List<ObjectDocument> changed = batch.changed().stream().map(ObjectDocument::of).toList();
		return write(new BatchDocument(batch.revision(), batch.gap(), changed));
	}

	/**
	 * Reads the objects of one kind. One that can't be read is left out.
	 * @param kind the kind that was requested
	 * @param json the document
	 * @return the batch
	 * @throws IOException if the document is malformed
	 */
	public static WatchBatch readBatch(String kind, byte[] json) throws IOException {
		ReceivedBatch document = mapper.readValue(json, ReceivedBatch.class);
		List<StoredObject> changed = readEach(document.changed(), ObjectDocument.class,
				(entry) -> entry.toObject(kind));
		return new WatchBatch(document.revision(), document.gap(), changed);
	}

	public static byte[] writeVms(List<VmRecord> vms) {
		return write(vms.stream().map(VmDocument::of).toList());
	}

	/**
	 * Reads the list of VMs. One that can't be read is left out.
	 * @param json the document
	 * @return the VMs
	 * @throws IOException if the document is malformed
	 */
	public static List<VmRecord> readVms(byte[] json) throws IOException {
		return readEach(mapper.readValue(json, ENTRIES), VmDocument.class, VmDocument::toRecord);
	}

	private static <D, T> List<T> readEach(List<JsonNode> entries, Class<D> type, Function<D, T> reader) {
		List<T> found = new ArrayList<>();
		for (JsonNode entry : entries) {
			try {
				if (!entry.isObject()) {
					throw new IllegalArgumentException("it is no object");
				}
				found.add(reader.apply(mapper.treeToValue(entry, type)));
			}
			catch (JsonProcessingException | IllegalArgumentException ex) {
				logger.warnf("An entry of the platform can't be read: %s", ex.getMessage());
			}
		}
		return found;
	}

	public static byte[] writeVm(VmRecord vm) {
		return write(VmDocument.of(vm));
	}

	public static VmRecord readVm(byte[] json) throws IOException {
		return mapper.readValue(json, VmDocument.class).toRecord();
	}

	private static byte[] write(Object document) {
		try {
			return mapper.writeValueAsBytes(document);
		}
		catch (JsonProcessingException ex) {
			throw new IllegalStateException("Could not encode platform document as JSON", ex);
		}
	}

	/**
	 * The JSON form of a batch.
	 */
	private record BatchDocument(long revision, boolean gap, List<ObjectDocument> changed) {
	}

	/**
	 * The JSON form of a batch as received, whose objects may not be readable.
	 */
	private record ReceivedBatch(long revision, boolean gap, List<JsonNode> changed) {
	}

	/**
	 * The JSON form of an object within a batch.
	 */
	private record ObjectDocument(String name, long version, byte[] value) {

		static ObjectDocument of(StoredObject object) {
			return new ObjectDocument(object.key().name(), object.version(), object.value());
		}

		StoredObject toObject(String kind) {
			if (this.name == null || this.value == null) {
				throw new IllegalArgumentException("object '" + this.name + "' without a name or a value");
			}
			return new StoredObject(new ObjectKey(kind, this.name), this.version, this.value);
		}

	}

	/**
	 * The JSON form of an entry in the list of VMs.
	 */
	private record VmDocument(String vm, String dataCentre, String peerAddress, String httpAddress, boolean leaving) {

		static VmDocument of(VmRecord record) {
			return new VmDocument(record.vm().value(), record.dataCentre().value(), record.peerAddress(),
					record.httpAddress(), record.leaving());
		}

		VmRecord toRecord() {
			return new VmRecord(new VmId(this.vm), new DataCentre(this.dataCentre), this.peerAddress, this.httpAddress,
					this.leaving);
		}

	}

}
