package independent;

/** Settings like those of a small deployment: a few backends in two zones. */
final class Sites {
  static final String LIMITS =
      "\"limits\":{\"cpuUsPerRequest\":0.0,\"cpuUsPerS\":11340,\"dialTimeout\":250000,"
          + "\"idleClose\":30000000,\"maxDispatches\":3,\"maxOpen\":28350,\"maxRetryAfter\":2000000,"
          + "\"mayCancel\":true,\"mayDuplicate\":true,\"multiplex\":1,\"peers\":false,"
          + "\"probing\":true,\"retryAfter\":true}";

  static final String REST =
      "\"prices\":{\"connection\":0.0,\"crossZone\":0.05,\"discovery\":0.0,\"handshake\":0.0,"
          + "\"lateFail\":0.033,\"moves\":0.0,\"origin\":0.0,\"peer\":0.0,\"probe\":0.01,"
          + "\"waste\":0.04},\"report\":{\"fields\":[],\"how\":\"none\"},"
          + "\"rules\":{\"answerSlack\":8000,\"askEvery\":10000000,\"cold\":9000000,"
          + "\"drainGrace\":500000,\"fall\":3000000,\"fallMultiple\":3.0,\"startCapacity\":0.34},"
          + "\"discovery\":\"automatic\",\"kinds\":[\"rapide\",\"moyen\",\"lent\"],"
          + "\"tenants\":[],\"weightKind\":\"rough\",\"valueBasis\":\"work\"";

  private Sites() {}

  /** One class. */
  static String ruleSet(
      String name, String effect, String group, long targetMillis, long timeoutMillis, long window) {
    return "{\"name\":\"" + name + "\",\"effect\":\"" + effect + "\",\"group\":\"" + group
        + "\",\"responseTarget\":" + targetMillis * 1000 + ",\"clientTimeout\":"
        + timeoutMillis * 1000 + ",\"window\":" + window * 1000
        + ",\"value\":2.0,\"overdueValue\":0.0,\"stream\":false}";
  }

  /** The object `settings`. */
  static String settings(String zones, int balancers, int me, String... ruleSets) {
    return settings(LIMITS, zones, balancers, me, ruleSets);
  }

  /** The object `settings`, with its limits. */
  static String settings(String limits, String zones, int balancers, int me, String... ruleSets) {
    return "{\"balancers\":" + balancers + ",\"me\":" + me + ",\"zone\":0,\"zones\":" + zones
        + ",\"ruleSets\":[" + String.join(",", ruleSets) + "]," + limits + "," + REST + "}";
  }
}
