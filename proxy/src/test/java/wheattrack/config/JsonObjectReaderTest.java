package wheattrack.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.params.provider.Arguments.arguments;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

/** Typed reading of JSON objects: defaults, units, and errors that name the path. */
class JsonObjectReaderTest {
  private static JsonObjectReader read(String json) throws IOException {
    return new JsonObjectReader(Json.object(json.replace('\'', '"')));
  }

  @Test
  void valuesAreReadByTheirPath() throws IOException {
    JsonObjectReader object =
        read("{'a':{'b':{'number':2.9,'text':'x','flag':true,'list':[1]}},'none':null}");
    assertEquals(2.9, object.number("a.b.number", 0));
    assertEquals(2, object.integer("a.b.number", 0));
    assertEquals(2, object.wholeNumber("a.b.number", 0));
    assertEquals("x", object.text("a.b.text"));
    assertEquals(true, object.section("a").flag("b.flag"));
    assertEquals(1, object.section("a.b").list("list").size());
    assertNull(object.any("none"));
  }

  @Test
  void missingOrNullValueHasItsDefault() throws IOException {
    JsonObjectReader object = read("{'none':null}");
    for (String path : List.of("none", "missing", "none.nested", "missing.nested")) {
      assertEquals(7, object.integer(path, 7));
      assertEquals("x", object.text(path, "x"));
      assertEquals(false, object.flag(path));
      assertEquals(List.of(), object.list(path));
      assertEquals(false, object.has(path));
    }
  }

  @Test
  void timesAreRoundedDownToTicks() throws IOException {
    JsonObjectReader object = read("{'time':1299.9}");
    assertEquals(12, object.time("time", 0));
    assertEquals(3, object.time("missing", 399));
  }

  static Stream<Arguments> faultyReadings() {
    return Stream.of(
        reading(object -> object.number("a.text", 0), "a.text: expected a number, got a string"),
        reading(object -> object.flag("a.text"), "a.text: expected true or false, got a string"),
        reading(object -> object.text("a.number"), "a.number: expected a string, got a number"),
        reading(object -> object.list("a.text"), "a.text: expected a list, got a string"),
        reading(object -> object.section("a.text"), "a.text: expected an object, got a string"),
        reading(object -> object.any("a.text.nested"), "a.text: expected an object, got a string"),
        reading(object -> object.text("a.missing"), "a.missing: missing or empty"),
        reading(object -> object.text("a.empty"), "a.empty: missing or empty"),
        reading(object -> object.time("a.number", 0), "a.number: expected 0 or more, got -1.0"),
        reading(
            object -> object.section("a").text("number"),
            "a.number: expected a string, got a number"),
        reading(
            object -> object.section("a").sections("list").get(0).text("id"),
            "a.list[0].id: missing or empty"),
        reading(
            object -> object.sections("a.mixed"), "a.mixed[1]: expected an object, got a number"));
  }

  private static Arguments reading(Consumer<JsonObjectReader> reading, String message) {
    return arguments(reading, message);
  }

  @ParameterizedTest
  @MethodSource("faultyReadings")
  void errorNamesThePath(Consumer<JsonObjectReader> reading, String message) throws IOException {
    JsonObjectReader object =
        read("{'a':{'text':'x','empty':'','number':-1,'list':[{}],'mixed':[{},1]}}");
    InvalidConfigurationException exception =
        assertThrows(InvalidConfigurationException.class, () -> reading.accept(object));
    assertEquals(message, exception.getMessage());
  }

  @Test
  void loadReportWithoutFieldsIsUnknownAndUnqueued() throws IOException {
    assertEquals(new LoadReport(-1, 0), LoadReport.of(read("{}")));
    assertEquals(new LoadReport(4, 3), LoadReport.of(read("{'rif':4,'q':3}")));
  }
}
