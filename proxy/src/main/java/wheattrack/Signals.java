package wheattrack;

import java.lang.reflect.Proxy;
import java.util.logging.Logger;

/** Words from the system to the process that Java's own interfaces have no name for. */
public final class Signals {
  private static final Logger LOG = Logger.getLogger("wheattrack");

  private Signals() {}

  /**
   * Day of new configurations: the JVM's own answer to SIGHUP is its end. The class that takes the
   * signal over is met by name, as the compiler warns of it at any use and warnings are errors
   * here.
   */
  public static void onHangup(Runnable then) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object ours =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (self, method, args) -> {
                if (method.getDeclaringClass() == Object.class) {
                  return method.invoke(then, args);
                }
                then.run();
                return null;
              });
      Object was =
          signal
              .getMethod("handle", signal, handler)
              .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), ours);
      if (was == handler.getField("SIG_IGN").get(null)) {
        // rolling day: a bench under nohup, and the list's old address was asked until the restart
        LOG.warning("SIGHUP is not heard, as whoever started this process ignores it (nohup does)");
      }
    } catch (ReflectiveOperationException | RuntimeException e) {
      LOG.warning("SIGHUP will end this process: " + e);
    }
  }
}
