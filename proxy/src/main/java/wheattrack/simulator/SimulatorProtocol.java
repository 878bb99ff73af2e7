package wheattrack.simulator;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import wheattrack.api.AttemptOutcome;

/**
 * The names and status codes of the simulator's wire format. The constants are named by the terms
 * of this project, which differ from those of the wire. Input is a sequence of batches, each from a
 * {@link #BATCH_START} to a {@link #BATCH_END}; every batch is answered by messages and a {@link
 * #BATCH_DONE}. Times on the wire are in microseconds.
 */
final class SimulatorProtocol {
  /** The field that holds the kind of an event or a message. */
  static final String KIND = "kind";

  // Kinds of events that are addressed to no proxy.
  static final String BATCH_START = "Turn";
  static final String BATCH_END = "End";
  static final String ENDPOINT_RECORDS = "Sheet";

  // Kinds of events that are addressed to one proxy.
  static final String CONFIGURE = "Configure";
  static final String SHUTDOWN = "Shutdown";
  static final String REQUEST_ARRIVED = "Arrival";
  static final String ATTEMPT_ENDED = "ReportBack";
  static final String STREAMING_STARTED = "First";
  static final String CLIENT_DISCONNECTED = "Expired";
  static final String TIMER_FIRED = "Due";
  static final String PROBE_ENDED = "ProbeDone";
  static final String GOSSIP = "NeighbourSays";
  static final String ENDPOINT_LIST = "PeersKnown";

  // Kinds of messages that the adapter writes.
  static final String BATCH_DONE = "Yield";
  static final String SEND_ATTEMPT = "Place";
  static final String CANCEL_ATTEMPT = "UndoSend";
  static final String REJECT = "Deny";
  static final String FAIL = "Error";
  static final String PROBE_LOAD = "AskLoad";
  static final String CLOSE_IDLE_CONNECTIONS = "HangUp";
  static final String SCHEDULE = "Schedule";
  static final String WATCH_ENDPOINTS = "Subscribe";
  static final String LOG = "SayLog";
  static final String INTERNAL_ERROR = "InternalError";

  // Fields of messages.
  static final String PROXY_ID = "proxyId";
  static final String REQUEST_ID = "rid";
  static final String BACKEND = "backend";
  static final String ATTEMPT = "leg";
  static final String ATTEMPT_TIMEOUT = "tryFor";
  static final String RETRY_AFTER = "wait";
  static final String TIMER_DELAY = "delay";
  static final String TIMER_ID = "nonce";
  static final String WATCH_ON = "on";
  static final String TEXT = "msg";

  // Fields of events that hold an object or a list.
  static final String SETTINGS = "settings";
  static final String LOAD_REPORT = "feedback";
  static final String RECORDS = "records";

  // Modes of an endpoint list.
  static final String LIST_CHANGES = "D";
  static final String LIST_SNAPSHOT = "F";
  static final String LIST_CACHED_SNAPSHOT = "C";
  static final String LIST_FAILED = "X";
  static final List<String> LIST_MODES =
      List.of(LIST_CHANGES, LIST_SNAPSHOT, LIST_CACHED_SNAPSHOT, LIST_FAILED);

  // Fields of the record of one backend, and its states.
  static final String READINESS = "readiness";
  static final String READINESS_READY = "healthy";
  static final String READINESS_REMOVED = "deregistered";
  static final String ZONE = "rackZone";
  static final String CELL = "pack";
  static final String BACKEND_KIND = "familyType";
  static final String WEIGHT = "weight";
  static final String STARTED_AT = "upSince";

  // The key of the setting that this package reads itself, and its value for a watch.
  static final String DISCOVERY = "discovery";
  static final String DISCOVERY_BY_WATCH = "subscribe";

  /** The status of an attempt or a load probe that was answered. */
  static final int STATUS_DONE = 0;

  // Statuses of an attempt that failed.
  private static final int STATUS_ERROR = 255;
  private static final int STATUS_FULL = 254;
  private static final int STATUS_TIMEOUT = 253;
  private static final int STATUS_NO_CONNECT = 252;
  private static final int STATUS_RESET = 251;
  private static final int STATUS_CANCELLED = 250;
  private static final int STATUS_DISCARDED = 249;

  /** How many lists of backend records are kept; they are numbered from 0. */
  static final int MAX_RECORD_LISTS = 16;

  /** The scalar fields of events that the adapter reads; others are ignored. */
  enum Field {
    KIND("kind"),
    TIME("simTime"),
    PROXY_ID("proxyId"),
    REQUEST_ID("rid"),
    REQUEST_CLASS("profile"),
    TENANT("tenant"),
    STICKY_KEY("targetKey"),
    DEADLINE("due"),
    COST_HINT("sizeHint"),
    CLIENT_RETRY("resent"),
    ATTEMPT("leg"),
    BACKEND("backend"),
    STATUS("status"),
    LATENCY("lag"),
    REQUEST_ENDED("ended"),
    TIMER_ID("nonce"),
    SEED("seed"),
    LIST_MODE("mode"),
    RECORD_LIST("sheet"),
    PEER("neighbour");

    private static final Map<String, Field> BY_WIRE_NAME = new HashMap<>();

    static {
      for (Field field : values()) {
        BY_WIRE_NAME.put(field.wireName, field);
      }
    }

    private final String wireName;

    Field(String wireName) {
      this.wireName = wireName;
    }

    /** The name of the field on the wire. */
    String wireName() {
      return wireName;
    }

    /** The field of this name on the wire, or null if the adapter does not read it. */
    static Field of(String wireName) {
      return BY_WIRE_NAME.get(wireName);
    }
  }

  private SimulatorProtocol() {}

  /**
   * The outcome of an attempt for its status.
   *
   * @throws InvalidInputException if there is no such status
   */
  static AttemptOutcome outcome(int status) throws InvalidInputException {
    return switch (status) {
      case STATUS_DONE -> AttemptOutcome.DONE;
      case STATUS_ERROR -> AttemptOutcome.ERROR;
      case STATUS_FULL -> AttemptOutcome.FULL;
      case STATUS_TIMEOUT -> AttemptOutcome.TIMEOUT;
      case STATUS_NO_CONNECT -> AttemptOutcome.NO_CONNECT;
      case STATUS_RESET -> AttemptOutcome.RESET;
      case STATUS_CANCELLED -> AttemptOutcome.CANCELLED;
      case STATUS_DISCARDED -> AttemptOutcome.DISCARDED;
      default ->
          throw new InvalidInputException(
              Field.STATUS.wireName()
                  + ": expected "
                  + STATUS_DONE
                  + " or "
                  + STATUS_DISCARDED
                  + " to "
                  + STATUS_ERROR
                  + ", got "
                  + status);
    };
  }
}
