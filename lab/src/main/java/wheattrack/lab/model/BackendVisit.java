package wheattrack.lab.model;

import wheattrack.api.AttemptOutcome;

/** A dispatch as a server sees it. */
public interface BackendVisit {
  long req();

  /** The place of the proxy that sent it. */
  int proxy();

  /** Work, in tenths of a millisecond at speed 1. */
  double work();

  /** When nobody waits for it any more. */
  long due();

  /** What the server says, or that it can say nothing as it broke; once. */
  void heard(AttemptOutcome how);

  /** How the server is told that the connection was closed; null once it has answered. */
  void stops(Runnable how);
}
