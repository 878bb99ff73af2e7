package wheattrack;

import java.lang.reflect.Proxy;
import java.util.logging.Logger;

/** Signals that the Java platform has no supported interface for. */
public final class Signals {
  private static final Logger LOG = Logger.getLogger("wheattrack");

  private Signals() {}

  /**
   * Runs an action at each SIGHUP, on a thread of the JVM, in place of the JVM's default, which is
   * to exit. If the signal can't be handled, a warning is logged.
   *
   * <p>The class that handles signals is used by reflection: the compiler warns of any direct use,
   * and warnings are errors here.
   */
  public static void onHangup(Runnable action) {
    try {
      Class<?> signalClass = Class.forName("sun.misc.Signal");
      Class<?> handlerClass = Class.forName("sun.misc.SignalHandler");
      Object hangup = signalClass.getConstructor(String.class).newInstance("HUP");
      Object previousHandler =
          signalClass
              .getMethod("handle", signalClass, handlerClass)
              .invoke(null, hangup, handler(handlerClass, action));
      if (previousHandler == handlerClass.getField("SIG_IGN").get(null)) {
        // the JVM leaves an ignored SIGHUP ignored: a proxy under nohup does not reload, and polls
        // the endpoint list's old address until it is restarted
        LOG.warning(
            "SIGHUP does not reload the configuration: this process was started with SIGHUP ignored"
                + " (as by nohup)");
      }
    } catch (ReflectiveOperationException | RuntimeException e) {
      LOG.warning("SIGHUP cannot be handled and will end this process: " + e);
    }
  }

  /** A signal handler that runs the action. */
  private static Object handler(Class<?> handlerClass, Runnable action) {
    return Proxy.newProxyInstance(
        handlerClass.getClassLoader(),
        new Class<?>[] {handlerClass},
        (proxy, method, args) -> {
          if (method.getDeclaringClass() == Object.class) {
            return method.invoke(action, args);
          }
          action.run();
          return null;
        });
  }
}
